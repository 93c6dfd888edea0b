import { CRASHES } from "@gooseberryline/core";
import { expect, test } from "vitest";
import { crashRequest } from "../testing/crash_request.ts";
import { createCrashTrackers } from "../testing/create_crash_trackers.ts";
import { buildBlockId } from "./build_block_id.ts";

const { SUSPECT: X, createKey, createSubject } = crashRequest;
const NO_NEWS = { crashes: [], soundAges: {}, blocks: [], inForce: [] };

test("instances that saw one crash each block the part together", () => {
  const { trackers, crash, settle } = createCrashTrackers(4);
  [0, 1, 2].forEach((index) => {
    crash(`u${index}`, { ...X, parts: [`a${index}`, "x"] }, index);
  });
  settle();
  trackers.forEach((tracker) => {
    expect(tracker.findBlock(createSubject("b", "x"))).toBeDefined();
    expect(tracker.findBlock(createSubject("a1", "y"))).toBeUndefined();
  });
});

test("several reports of a crash count once", () => {
  const { trackers, exchange, clock, settle } = createCrashTrackers(3);
  trackers.forEach((tracker) => {
    tracker.recordDown("u1", clock.nowMs, [X]);
    exchange();
  });
  settle();
  expect(trackers.map(({ blocks }) => blocks.length)).toEqual([0, 0, 0]);
});

test("an answer that began at a peer clears a part here", () => {
  const { clock, trackers, exchange, crash, settle } = createCrashTrackers(2);
  const [first, second] = trackers;
  [1, 2, 3].forEach((round) => {
    crash(`u${round}`, X);
    clock.nowMs += 10;
    second?.recordSoundStart(["a"]);
    exchange();
  });
  settle();
  expect(first?.blocks).toMatchObject([{ kind: "prompt", parts: ["x"] }]);
});

test("an instance that starts later learns of blocks from peers", () => {
  const { clock, trackers, exchange, settle } = createCrashTrackers(3);
  const [first, second, later] = trackers;
  [1, 2, 3].forEach((round) => {
    clock.nowMs += 10;
    first?.recordDown(`u${round}`, clock.nowMs, [X]);
    const news = first?.buildNews();
    second?.recordDown(`u${round}`, clock.nowMs, []);
    second?.recordPeerNews(news ?? NO_NEWS);
  });
  settle();
  clock.nowMs += 60_000;
  exchange();
  expect(later?.findBlock(createSubject("a", "x"))).toBeDefined();
});

test("a dropped block does not come back from peers or old crashes", () => {
  const { clock, trackers, exchange, crash, settle } = createCrashTrackers(2);
  const [first, second] = trackers;
  [1, 2, 3].forEach((round) => {
    crash(`u${round}`, X);
  });
  settle();
  const [block] = first?.blocks ?? [];
  expect(block).toBeDefined();
  clock.nowMs += 10;
  first?.dropBlock(block === undefined ? "" : buildBlockId(block));
  exchange();
  expect(first?.blocks).toEqual([]);
  crash("u4", X);
  settle();
  expect(first?.blocks).toEqual([]);
  second?.dropBlock(block === undefined ? "" : buildBlockId(block));
  exchange();
  expect(second?.blocks).toEqual([]);
});

test("without crashes there is nothing to tell peers", () => {
  const { trackers } = createCrashTrackers(1);
  trackers[0]?.recordSoundStart(["a", "b"]);
  expect(trackers[0]?.buildNews()).toBeUndefined();
});

test("a request that crashed upstreams at three instances is blocked at all", () => {
  const key = createKey("prompt");
  const { trackers, crash, settle } = createCrashTrackers(4);
  const suspect = { ...X, request: key.full, parts: ["a", "s"] };
  [0, 1, 2].forEach((index) => {
    crash(`u${index}`, suspect, index);
  });
  settle();
  const isRefused = (text: string) =>
    trackers.map((tracker) => {
      const hasKey = (request: string) => createKey(text).matches(request);
      const subject = { ...createSubject("a", "s"), hasKey };
      return tracker.findBlock(subject) !== undefined;
    });
  expect(isRefused("prompt")).toEqual([true, true, true, true]);
  expect(isRefused("other")).toEqual([false, false, false, false]);
});

test("a whole answer to a request clears it at all instances", () => {
  const key = createKey("prompt");
  const { clock, trackers, exchange, crash, settle } = createCrashTrackers(2);
  const suspect = { ...X, request: key.full, parts: [] };
  crash("u1", suspect);
  crash("u2", suspect);
  expect(trackers[0]?.countCrashesUnder(key)).toBe(2);
  clock.nowMs += 10;
  trackers[1]?.recordWholeAnswer(createKey("prompt"));
  exchange();
  expect(trackers[0]?.countCrashesUnder(key)).toBe(0);
  crash("u3", suspect);
  settle();
  expect(trackers.flatMap(({ blocks }) => blocks)).toEqual([]);
});

test("a block lapses everywhere and returns by one crash, for twice the time", () => {
  const { clock, trackers, exchange, crash, settle } = createCrashTrackers(3);
  const suspect = { ...X, request: createKey("prompt").full, parts: [] };
  ["u1", "u2", "u3"].forEach((upstreamId) => {
    crash(upstreamId, suspect);
  });
  settle();
  exchange();
  const countBlocks = () => trackers.map(({ blocks }) => blocks.length);
  expect(countBlocks()).toEqual([1, 1, 1]);
  clock.nowMs += CRASHES.BLOCK_MS;
  exchange();
  expect(countBlocks()).toEqual([0, 0, 0]);
  crash("u4", suspect);
  settle();
  expect(countBlocks()).toEqual([1, 1, 1]);
  clock.nowMs += CRASHES.BLOCK_MS + 1_000;
  exchange();
  expect(countBlocks()).toEqual([1, 1, 1]);
  clock.nowMs += CRASHES.BLOCK_MS;
  exchange();
  expect(countBlocks()).toEqual([0, 0, 0]);
});

test("a request that goes on to crash upstreams does so ever more rarely", () => {
  const { clock, trackers, exchange, crash, settle } = createCrashTrackers(2);
  const key = createKey("prompt");
  const suspect = { ...X, request: key.full, parts: [] };
  const subject = { ...createSubject(), hasKey: (k: string) => key.matches(k) };
  let crashes = 0;
  const DAY_MS = 86_400_000;
  while (clock.nowMs < DAY_MS) {
    clock.nowMs += 60_000;
    exchange();
    if (trackers[0]?.findBlock(subject) === undefined) {
      crashes += 1;
      crash(`u${crashes}`, suspect);
      settle();
    }
  }
  expect(crashes).toBeLessThanOrEqual(3 + Math.log2(DAY_MS / CRASHES.BLOCK_MS));
});

test("peers hear at once of the first sound answer on what ran at a crash", () => {
  const { clock, trackers, crash } = createCrashTrackers(2);
  const [, second] = trackers;
  crash("u1", X);
  let urgent = 0;
  if (second !== undefined) {
    second.onUrgentNews = () => {
      urgent += 1;
    };
  }
  clock.nowMs += 10;
  second?.recordSoundStart(["other"]);
  expect(urgent).toBe(0);
  second?.recordSoundStart(["x"]);
  expect(urgent).toBe(1);
  clock.nowMs += 10;
  second?.recordSoundStart(["x"]);
  expect(urgent).toBe(1);
});

test("a lapsed block does not return by a crash beside others", () => {
  const { clock, trackers, exchange, crash, settle } = createCrashTrackers(2);
  const [first] = trackers;
  ["u1", "u2", "u3"].forEach((upstreamId) => {
    crash(upstreamId, X);
  });
  settle();
  clock.nowMs += CRASHES.BLOCK_MS;
  exchange();
  expect(first?.blocks).toEqual([]);
  ["u4", "u5", "u6"].forEach((upstreamId) => {
    const suspects = upstreamId === "u5" ? [X] : [];
    first?.recordDown(upstreamId, clock.nowMs, suspects);
    trackers[1]?.recordDown(upstreamId, clock.nowMs, []);
  });
  exchange();
  settle();
  expect(trackers.flatMap(({ blocks }) => blocks)).toEqual([]);
});

// Guards against a block by crashes that arrive before the answers that refute it.
test("an answer from before the news of a crash is told to peers at once", () => {
  const { clock, trackers, exchange } = createCrashTrackers(3);
  const [first, second, third] = trackers;
  first?.recordDown("u1", clock.nowMs, [X]);
  second?.recordDown("u1", clock.nowMs, []);
  clock.nowMs += 10;
  third?.recordSoundStart(X.parts);
  const told = { first: 0, third: 0 };
  if (first !== undefined && third !== undefined) {
    first.onUrgentNews = () => {
      told.first += 1;
    };
    third.onUrgentNews = () => {
      told.third += 1;
    };
  }
  clock.nowMs += 10;
  exchange();
  expect(told).toEqual({ first: 0, third: 1 });
});
