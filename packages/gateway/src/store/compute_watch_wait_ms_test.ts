import { expect, test } from "vitest";
import { computeWatchWaitMs } from "./compute_watch_wait_ms.ts";
import { WATCH_TIMING } from "./constants.ts";

// Seen on penwhistle-post scale-1: all watches were cut off from changes at
// once, started together, and ended together 4.5 s later.
test.each([1, 2, 9, 30])("of %i watches one ends in each turn", (count) => {
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
});

test("a watch waits a whole round after its turn", () => {
  const turn = { rank: 2, count: 4 };
  const nowMs = 2 * WATCH_TIMING.STAGGER_MS;
  const wait = computeWatchWaitMs(turn, nowMs + 1);
  expect(wait).toBe(4 * WATCH_TIMING.STAGGER_MS - 1);
});
