import fc from "fast-check";
import { expect, test } from "vitest";
import { takeTokens } from "./take_tokens.ts";
import type { Bucket } from "./types.ts";

const bucket = (rate: number, burst: number): Bucket => ({
  tokens: burst,
  cap: burst,
  ratePerSecond: rate,
  atMs: 0,
});

test("admissions stay within rate x window + burst", () => {
  const gaps = fc.array(fc.integer({ min: 0, max: 400 }), { maxLength: 200 });
  fc.assert(
    fc.property(gaps, (gapsMs) => {
      const outcome = gapsMs.reduce(
        (previous, gapMs) => {
          const nowMs = previous.nowMs + gapMs;
          const taken = takeTokens(previous.bucket, 1, nowMs);
          const admitted = previous.admitted + (taken.isTaken ? 1 : 0);
          expect(admitted).toBeLessThanOrEqual(5 * (nowMs / 1000) + 3 + 1e-6);
          return { nowMs, bucket: taken.bucket, admitted };
        },
        { nowMs: 0, bucket: bucket(5, 3), admitted: 0 },
      );
      expect(outcome.admitted).toBeGreaterThanOrEqual(
        Math.min(3, gapsMs.length),
      );
    }),
    { seed: 1, numRuns: 500 },
  );
});

test("a clock that steps back refills nothing", () => {
  const empty = { ...bucket(10, 5), tokens: 0, atMs: 1000 };
  expect(takeTokens(empty, 1, 500).isTaken).toBe(false);
  expect(takeTokens(empty, 1, 1100).isTaken).toBe(true);
});
