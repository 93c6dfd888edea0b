import fc from "fast-check";
import { expect, test } from "vitest";
import { CRASHES } from "./constants.ts";
import { crashLoadFixture } from "./crash_load_fixture.ts";

const { runLoad } = crashLoadFixture;
const NEWS_MS = 20;
/** Crashes after which a deadly request or part ends, as in the play of trackers. */
const CRASHES_ALLOWED = 6;

test("what crashes upstreams ends soon after the sixth, however many of it are in flight", () => {
  fc.assert(
    fc.property(
      fc.record({
        seed: fc.integer({ min: 1, max: 1_000_000 }),
        upstreams: fc.integer({ min: 30, max: 165 }),
        firstMs: fc.integer({ min: 100, max: 500 }),
        deadlyPerSecond: fc.integer({ min: 10, max: 100 }),
        deadly: fc.constantFrom("request" as const, "part" as const),
      }),
      (load) => {
        const { deadlyCrashesMs } = runLoad({
          ...load,
          hotShare: 0.2,
          repeatShare: 0.02,
          crashedShare: 0,
          spreadMs: 0,
          newsMs: NEWS_MS,
          endMs: 5_000,
        });
        const lastMs = deadlyCrashesMs.at(-1) ?? 0;
        const sixthMs = deadlyCrashesMs[CRASHES_ALLOWED - 1] ?? lastMs;
        expect(lastMs - sixthMs).toBeLessThanOrEqual(
          CRASHES.SETTLE_MS + NEWS_MS,
        );
      },
    ),
    { seed: 1, numRuns: 20 },
  );
});
