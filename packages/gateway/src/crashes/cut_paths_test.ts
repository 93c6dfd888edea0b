import { CRASHES } from "@gooseberryline/core";
import { expect, test } from "vitest";
import { crashRequest } from "../testing/crash_request.ts";
import { createCrashTrackers } from "../testing/create_crash_trackers.ts";

const { SUSPECT: X, createKey, createSubject } = crashRequest;

test("an instance cut off from upstreams that others reach blocks nothing", () => {
  const { clock, trackers, exchange, settle } = createCrashTrackers(4);
  const [cutOff, other] = trackers;
  [1, 2, 3, 4, 5, 6].forEach((round) => {
    const upstreamId = `u${round}`;
    clock.nowMs += 10;
    cutOff?.recordDown(upstreamId, clock.nowMs, [X]);
    exchange();
    other?.recordReached(upstreamId, clock.nowMs);
    exchange();
  });
  settle();
  expect(trackers.flatMap(({ blocks }) => blocks)).toEqual([]);
  expect(cutOff?.findVerdict("u1")).toBe("reached");
});

test("upstreams that go on to send data did not crash", () => {
  const { clock, trackers, activityMs, exchange } = createCrashTrackers(2);
  const [first, second] = trackers;
  const { nowMs } = clock;
  ["u1", "u2", "u3"].forEach((upstreamId) => {
    first?.recordDown(upstreamId, nowMs, [X]);
    second?.recordDown(upstreamId, nowMs, []);
  });
  exchange();
  activityMs.set("u1", nowMs + CRASHES.ARRIVAL_MARGIN_MS + 10);
  activityMs.set("u2", nowMs + CRASHES.ARRIVAL_MARGIN_MS - 10);
  clock.nowMs += CRASHES.ARRIVAL_MARGIN_MS + 20;
  first?.review();
  expect(first?.findVerdict("u1")).toBe("reached");
  expect(first?.findVerdict("u2")).toBe("crashed");
});

test("a block ends by itself once its upstreams turn out to be reached", () => {
  const { clock, trackers, activityMs, exchange, crash, settle } =
    createCrashTrackers(3);
  const lifted: string[] = [];
  const [first] = trackers;
  ["u1", "u2", "u3"].forEach((upstreamId) => {
    crash(upstreamId, X);
  });
  settle();
  expect(trackers.map(({ blocks }) => blocks.length)).toEqual([1, 1, 1]);
  trackers.forEach((tracker) => {
    tracker.onLift = (_, reason) => lifted.push(reason);
  });
  clock.nowMs += CRASHES.ARRIVAL_MARGIN_MS;
  activityMs.set("u3", clock.nowMs);
  first?.review();
  exchange();
  exchange();
  expect(trackers.flatMap(({ blocks }) => blocks)).toEqual([]);
  expect(lifted).toHaveLength(3);
});

test("a crash that no other instance can see is confirmed by its successor", () => {
  const { clock, trackers, listEntry, settle } = createCrashTrackers(1);
  const [alone] = trackers;
  ["u1", "u2", "u3"].forEach((upstreamId) => {
    clock.nowMs += 10;
    alone?.recordDown(upstreamId, clock.nowMs, [X]);
  });
  settle();
  expect(alone?.blocks).toEqual([]);
  clock.nowMs += 3_000;
  ["u1", "u2", "u3"].forEach((upstreamId) => {
    alone?.recordListed(listEntry(upstreamId));
  });
  expect(alone?.blocks).toEqual([]);
  ["u1", "u2", "u3"].forEach((upstreamId) => {
    alone?.recordListed(listEntry(`${upstreamId}-new`, `at-${upstreamId}`));
  });
  expect(alone?.blocks).toHaveLength(1);
});

test("a process that starts again under its id confirms the crash", () => {
  const { clock, trackers, listEntry } = createCrashTrackers(1);
  const [alone] = trackers;
  alone?.recordDown("u1", clock.nowMs, [X]);
  clock.nowMs += 3_000;
  alone?.recordListed({ ...listEntry("u1"), bornMs: 7 });
  expect(alone?.findVerdict("u1")).toBe("crashed");
});

test("a request waits until it is known whether its upstream crashed", async () => {
  const { clock, trackers, exchange } = createCrashTrackers(2);
  const [first, second] = trackers;
  first?.recordDown("u1", clock.nowMs, [X]);
  const verdict = first?.awaitVerdict("u1");
  exchange();
  second?.recordReached("u1", clock.nowMs);
  exchange();
  expect(await verdict).toBe("reached");
});

test("an upstream that crashes soon after a cut path to it has crashed", () => {
  const { clock, trackers, exchange, crash, settle } = createCrashTrackers(4);
  const [cutOff, , , other] = trackers;
  const key = createKey("prompt");
  const suspect = { ...X, request: key.full, parts: [] };
  ["u1", "u2", "u3"].forEach((upstreamId) => {
    cutOff?.recordDown(upstreamId, clock.nowMs, [X]);
    exchange();
    clock.nowMs += 20;
    other?.recordReached(upstreamId, clock.nowMs - 20);
    exchange();
    crash(upstreamId, suspect, 1);
  });
  settle();
  const subject = { ...createSubject(), hasKey: (k: string) => key.matches(k) };
  trackers.forEach((tracker) => {
    expect(tracker.findVerdict("u1")).toBe("crashed");
    expect(tracker.findBlock(subject)).toBeDefined();
  });
});

test("a later cut path to an upstream that crashed does not end the block", () => {
  const { clock, trackers, exchange, crash, settle } = createCrashTrackers(3);
  const [first, , other] = trackers;
  const suspect = { ...X, request: createKey("prompt").full, parts: [] };
  ["u1", "u2", "u3"].forEach((upstreamId) => {
    crash(upstreamId, suspect);
  });
  settle();
  const lifted: string[] = [];
  trackers.forEach((tracker) => {
    tracker.onLift = (_, reason) => lifted.push(reason);
  });
  clock.nowMs += 8_000;
  first?.recordDown("u1", clock.nowMs, []);
  exchange();
  clock.nowMs += 10;
  other?.recordReached("u1", clock.nowMs - 10);
  exchange();
  settle();
  expect(lifted).toEqual([]);
  expect(trackers.map(({ blocks }) => blocks.length)).toEqual([1, 1, 1]);
});
