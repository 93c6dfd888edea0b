import { expect, test } from "vitest";
import { computeWatchWaitMs } from "./compute_watch_wait_ms.ts";
import { WATCH_TIMING } from "./constants.ts";

// Guards against watches that end together: all had lost changes at once, were
// restarted together and ended together 4.5 s later.
test.each([1, 2, 9, 30])(
  "one of %i watches ends in each stagger interval",
  (count) => {
    const startedMs = 1_234_567;
    const ends = Array.from({ length: count }, (_, rank) =>
      computeWatchWaitMs({ rank, count }, startedMs),
    ).sort((a, b) => a - b);
    const gaps = ends.map((end, index) => end - (ends[index - 1] ?? 0));
    const longest =
      count === 1 ? WATCH_TIMING.MIN_STAGGER_POSITIONS : count < 4 ? 3 : 1;
    gaps.forEach((gap) => {
      expect(gap).toBeLessThanOrEqual(
        longest * WATCH_TIMING.STAGGER_MS + WATCH_TIMING.MIN_WAIT_MS,
      );
    });
  },
);

test("a watch waits a whole period after its position has passed", () => {
  const watchRank = { rank: 2, count: 4 };
  const nowMs = 2 * WATCH_TIMING.STAGGER_MS;
  const wait = computeWatchWaitMs(watchRank, nowMs + 1);
  expect(wait).toBe(4 * WATCH_TIMING.STAGGER_MS - 1);
});
