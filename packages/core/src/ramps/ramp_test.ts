import fc from "fast-check";
import { expect, test } from "vitest";
import { takeTokens } from "../limits/take_tokens.ts";
import { createRamp } from "./create_ramp.ts";
import { listRampHolders } from "./list_ramp_holders.ts";

const BOUNDS = { over: 1.5, slack: 5 };

test("no second holds more than a cold upstream bears", () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 40 }),
      fc.integer({ min: 1, max: 100 }),
      (perSecond, instances) => {
        const limit = { ...BOUNDS, perSecond };
        const ids = Array.from({ length: instances }, (_, n) => `i${n}`);
        const holders = listRampHolders("u1", ids, limit);
        const sentMs = holders.flatMap(() => {
          // Each sends whenever it may.
          let bucket = createRamp(limit, holders.length, 0);
          return Array.from({ length: 300 }, (_, step) => step * 10).filter(
            (nowMs) => {
              const taken = takeTokens(bucket, 1, nowMs);
              bucket = taken.bucket;
              return taken.isTaken;
            },
          );
        });
        const bound = perSecond * BOUNDS.over + BOUNDS.slack;
        const starts = Array.from({ length: 200 }, (_, step) => step * 10);
        const worst = Math.max(
          ...starts.map(
            (start) =>
              sentMs.filter((atMs) => atMs >= start && atMs < start + 1_000)
                .length,
          ),
        );
        expect(worst).toBeLessThanOrEqual(bound);
      },
    ),
    { seed: 1, numRuns: 60 },
  );
});

test("an upstream that bears little still has one holder", () => {
  const limit = { perSecond: 0.1, over: 1, slack: 0 };
  expect(listRampHolders("u1", ["a", "b"], limit)).toHaveLength(1);
});
