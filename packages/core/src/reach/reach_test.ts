import fc from "fast-check";
import { expect, test } from "vitest";
import { choosePassingPeer } from "./choose_passing_peer.ts";
import { createReach } from "./create_reach.ts";
import { isCutOff } from "./is_cut_off.ts";
import { recordAnswer } from "./record_answer.ts";
import { recordConnected } from "./record_connected.ts";
import { recordOpened } from "./record_opened.ts";
import { recordUnanswered } from "./record_unanswered.ts";
import type { PassingPeer, UpstreamReach } from "./types.ts";

type Failures = {
  readonly ids: readonly string[];
  readonly atMs: number;
  readonly upstreamCount?: number;
  readonly isConnected?: boolean;
};

function fail(
  reach: UpstreamReach,
  { ids, atMs, upstreamCount = 12, isConnected = true }: Failures,
): UpstreamReach {
  return ids.reduce(
    (state, upstreamId) =>
      recordUnanswered(state, { upstreamId, upstreamCount, isConnected }, atMs),
    reach,
  );
}

const THREE = ["u1", "u2", "u3"];

test("an instance is cut off once several upstreams fail and none answers", () => {
  const answered = recordAnswer(createReach(), 0);
  const two = fail(answered, { ids: ["u1", "u2"], atMs: 130 });
  expect(isCutOff(two)).toBe(false);
  expect(isCutOff(fail(two, { ids: ["u3"], atMs: 250 }))).toBe(true);
});

test("one silent upstream does not cut an instance off, however often it fails", () => {
  const ids = Array.from({ length: 50 }, () => "u1");
  const atMs = 1_000;
  expect(isCutOff(fail(createReach(), { ids, atMs }))).toBe(false);
  const sole = { ids, atMs, upstreamCount: 1 };
  expect(isCutOff(fail(createReach(), sole))).toBe(false);
});

test("upstreams that fail while others answer cut nobody off", () => {
  const ids = ["u1", "u2", "u3", "u4"];
  const busy = recordAnswer(createReach(), 1_000);
  expect(isCutOff(fail(busy, { ids, atMs: 1_020 }))).toBe(false);
  const two = fail(busy, { ids: ["u1", "u2"], atMs: 1_200 });
  const between = recordAnswer(two, 1_201);
  const rest = { ids: ["u3", "u4"], atMs: 1_400 };
  expect(isCutOff(fail(between, rest))).toBe(false);
});

test("upstreams that refuse connections while others open cut nobody off", () => {
  const refused = { ids: THREE, isConnected: false };
  const connected = recordConnected(recordAnswer(createReach(), 950), 950);
  expect(isCutOff(fail(connected, { ...refused, atMs: 1_000 }))).toBe(false);
});

test("answers on old connections don't hide that no new one opens", () => {
  const refused = { ids: THREE, isConnected: false, atMs: 1_000 };
  const old = recordAnswer(createReach(), 995);
  const lost = fail(old, refused);
  expect(isCutOff(lost)).toBe(true);
  expect(isCutOff(recordAnswer(lost, 1_001))).toBe(true);
  expect(isCutOff(recordConnected(lost, 1_001))).toBe(false);
});

test("failures far apart do not add up", () => {
  const early = fail(createReach(), { ids: ["u1", "u2"], atMs: 0 });
  expect(isCutOff(fail(early, { ids: ["u3"], atMs: 1_500 }))).toBe(false);
});

test("one answer ends the state of being cut off", () => {
  const cutOff = fail(createReach(), { ids: THREE, atMs: 500 });
  expect(isCutOff(cutOff)).toBe(true);
  expect(isCutOff(recordAnswer(cutOff, 600))).toBe(false);
});

test("a path that opens but never answers is given up at its first failure", () => {
  const lost = fail(createReach(), { ids: THREE, atMs: 500 });
  const opened = recordOpened(lost);
  expect(isCutOff(opened)).toBe(false);
  const next = { ids: ["u4"], atMs: 800 };
  expect(isCutOff(fail(opened, next))).toBe(true);
  expect(isCutOff(fail(recordAnswer(opened, 600), next))).toBe(false);
});

function createPeer(id: string, fields: Partial<PassingPeer> = {}) {
  return {
    id,
    dataCentre: "a",
    isTaking: true,
    open: 0,
    avoidedUntilMs: 0,
    ...fields,
  };
}

function choose(
  peers: readonly PassingPeer[],
  tried: readonly string[] = [],
  random = 0,
): string | undefined {
  return choosePassingPeer({
    peers,
    tried: new Set(tried),
    ownDataCentre: "a",
    nowMs: 1_000,
    random,
  })?.id;
}

test("a peer that takes no requests, or was tried, is never chosen", () => {
  expect(choose([createPeer("p1", { isTaking: false })])).toBeUndefined();
  expect(choose([createPeer("p1")], ["p1"])).toBeUndefined();
  expect(choose([])).toBeUndefined();
});

test("the own data centre comes first until its peers have more to do", () => {
  const far = createPeer("far", { dataCentre: "b" });
  expect(choose([createPeer("near"), far], [], 0.99)).toBe("near");
  expect(choose([createPeer("near", { open: 30 }), far], [], 0.5)).toBe("far");
});

test("a peer that was just unable is passed over while there is another", () => {
  const unable = createPeer("p1", { avoidedUntilMs: 2_000 });
  expect(choose([unable, createPeer("p2", { open: 90 })])).toBe("p2");
  expect(choose([unable])).toBe("p1");
});

test("no peer is drowned: what is passed on evens out their load", () => {
  fc.assert(
    fc.property(
      fc.array(fc.integer({ min: 0, max: 40 }), { minLength: 2, maxLength: 8 }),
      fc.infiniteStream(fc.double({ min: 0, max: 0.999, noNaN: true })),
      (loads, draws) => {
        const open = new Map(loads.map((load, index) => [`p${index}`, load]));
        Array.from({ length: 400 }).forEach(() => {
          const peers = [...open].map(([id, count]) =>
            createPeer(id, { open: count }),
          );
          const id = choose(peers, [], draws.next().value ?? 0) ?? "";
          open.set(id, (open.get(id) ?? 0) + 1);
        });
        const counts = [...open.values()];
        expect(Math.max(...counts) - Math.min(...counts)).toBeLessThan(4);
      },
    ),
    { seed: 1, numRuns: 50 },
  );
});
