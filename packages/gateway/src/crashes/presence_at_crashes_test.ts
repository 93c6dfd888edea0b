import { CRASHES, type CrashBlock } from "@gooseberryline/core";
import { expect, test } from "vitest";
import { crashRequest } from "../testing/crash_request.ts";
import { createCrashTrackers } from "../testing/create_crash_trackers.ts";

const { SUSPECT: X, createKey } = crashRequest;
const DELAY_MS = 10;

test("a peer's block is not taken over where answers began after all its crashes", () => {
  const { clock, trackers, crash, settle } = createCrashTrackers(3);
  const third = trackers[2];
  ["u1", "u2", "u3"].forEach((upstreamId) => {
    crash(upstreamId, X);
  });
  clock.nowMs += DELAY_MS;
  third?.recordSoundStart(X.parts);
  settle();
  expect(third?.blocks).toEqual([]);
  const news = trackers[0]?.buildNews();
  expect(news?.inForce).toHaveLength(1);
  if (news !== undefined) {
    third?.recordPeerNews(news);
  }
  expect(third?.blocks).toEqual([]);
});

test("a request that was at two upstreams as they crashed together may be tried again", () => {
  const { clock, trackers } = createCrashTrackers(2);
  const [first] = trackers;
  const key = createKey("repeat");
  const suspect = { ...X, request: key.full, hasHead: false, ranMs: 500 };
  ["u1", "u2"].forEach((upstreamId) => {
    first?.recordDown(upstreamId, clock.nowMs, [suspect]);
  });
  expect(first?.countCrashesUnder(key)).toBeLessThan(
    CRASHES.CRASHES_WITHOUT_RETRY,
  );
});

test("a lapsed block does not return after answers began on its part", () => {
  const { clock, trackers, exchange, crash, settle } = createCrashTrackers(2);
  const [first] = trackers;
  const block: CrashBlock = {
    kind: "prompt",
    parts: X.parts,
    customers: [X.customer],
    upstreams: ["u1", "u2", "u3"],
  };
  first?.addBlock(block, "store");
  clock.nowMs += CRASHES.BLOCK_MS;
  exchange();
  expect(first?.blocks).toEqual([]);
  first?.recordSoundStart(X.parts);
  crash("u4", X);
  clock.nowMs += DELAY_MS;
  first?.recordSoundStart(X.parts);
  settle();
  expect(first?.blocks).toEqual([]);
});
