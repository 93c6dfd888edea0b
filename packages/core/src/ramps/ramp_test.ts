import fc from "fast-check";
import { expect, test } from "vitest";
import { takeTokens } from "../limits/take_tokens.ts";
import { createRampBucket } from "./create_ramp_bucket.ts";
import { listRampSenders } from "./list_ramp_senders.ts";

const BOUNDS = { over: 1.5, slack: 5 };

test("no second exceeds the limit of a cold upstream", () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 40 }),
      fc.integer({ min: 1, max: 100 }),
      (perSecond, instanceCount) => {
        const limit = { ...BOUNDS, perSecond };
        const ids = Array.from({ length: instanceCount }, (_, n) => `i${n}`);
        const senders = listRampSenders("u1", ids, limit);
        const sentMs = senders.flatMap(() => {
          // Each sender sends whenever its bucket has a token.
          let bucket = createRampBucket(limit, senders.length, 0);
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

test("an upstream with a low limit still has one sender", () => {
  const limit = { perSecond: 0.1, over: 1, slack: 0 };
  expect(listRampSenders("u1", ["a", "b"], limit)).toHaveLength(1);
});
