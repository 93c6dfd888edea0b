import type { CrashSuspect } from "@gooseberryline/core";
import { expect, test } from "vitest";
import { buildBlockId } from "./build_block_id.ts";
import { CrashTracker } from "./crash_tracker.ts";

const X: CrashSuspect = { parts: ["a", "x"], customer: "c1", hasHead: true };

/** Trackers of several instances that share a clock. */
function createTrackers(count: number) {
  const clock = { nowMs: 1_000 };
  const trackers = Array.from(
    { length: count },
    () => new CrashTracker(() => clock.nowMs),
  );
  const exchange = (): void => {
    trackers.forEach((from) => {
      const news = from.buildNews();
      trackers
        .filter((to) => to !== from && news !== undefined)
        .forEach((to) => {
          to.recordPeerNews(news ?? { crashes: [], soundAges: {}, blocks: [] });
        });
    });
  };
  return { clock, trackers, exchange };
}

test("instances that saw one crash each block the part together", () => {
  const { clock, trackers, exchange } = createTrackers(4);
  trackers.slice(0, 3).forEach((tracker, index) => {
    clock.nowMs += 100;
    tracker.recordCrash(`u${index}`, { ...X, parts: [`a${index}`, "x"] });
    exchange();
  });
  trackers.forEach((tracker) => {
    expect(tracker.findBlock(["b", "x"], "c1")).toBeDefined();
    expect(tracker.findBlock(["a1", "y"], "c1")).toBeUndefined();
  });
});

test("several reports of a crash count once", () => {
  const { trackers, exchange } = createTrackers(3);
  trackers.forEach((tracker) => {
    tracker.recordCrash("u1", X);
    exchange();
  });
  expect(trackers.map(({ blocks }) => blocks.length)).toEqual([0, 0, 0]);
});

test("an answer that began at a peer clears a part here", () => {
  const { clock, trackers, exchange } = createTrackers(2);
  const [first, second] = trackers;
  [1, 2, 3].forEach((round) => {
    clock.nowMs += 100;
    first?.recordCrash(`u${round}`, X);
    exchange();
    clock.nowMs += 10;
    second?.recordSoundStart(["a"]);
    exchange();
  });
  expect(first?.blocks.map(({ parts }) => parts)).toEqual([["x"]]);
});

test("an instance that starts later learns of blocks from peers", () => {
  const { clock, trackers, exchange } = createTrackers(2);
  const [first, second] = trackers;
  [1, 2, 3].forEach((round) => {
    clock.nowMs += 10;
    first?.recordCrash(`u${round}`, X);
  });
  clock.nowMs += 60_000;
  exchange();
  expect(second?.findBlock(["a", "x"], "c1")).toBeDefined();
});

test("a dropped block does not come back from peers or old crashes", () => {
  const { clock, trackers, exchange } = createTrackers(2);
  const [first, second] = trackers;
  [1, 2, 3].forEach((round) => {
    clock.nowMs += 10;
    first?.recordCrash(`u${round}`, X);
  });
  exchange();
  const [block] = first?.blocks ?? [];
  clock.nowMs += 10;
  first?.dropBlock(block === undefined ? "" : buildBlockId(block));
  exchange();
  expect(first?.blocks).toEqual([]);
  first?.recordCrash("u4", X);
  expect(first?.blocks).toEqual([]);
  second?.dropBlock(block === undefined ? "" : buildBlockId(block));
  exchange();
  expect(second?.blocks).toEqual([]);
});

test("without crashes there is nothing to tell peers", () => {
  const { trackers } = createTrackers(1);
  trackers[0]?.recordSoundStart(["a", "b"]);
  expect(trackers[0]?.buildNews()).toBeUndefined();
});
