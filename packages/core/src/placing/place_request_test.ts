import { expect, test } from "vitest";
import { ENTRY_FIXTURE } from "./entry_fixture.ts";
import { placeRequest } from "./place_request.ts";
import type { Candidate, PlaceRequest } from "./types.ts";

function createCandidate(
  id: string,
  overrides: Partial<Candidate> & { readonly dataCentre?: string } = {},
): Candidate {
  return {
    entry: { ...ENTRY_FIXTURE, id, dataCentre: overrides.dataCentre ?? "a" },
    open: overrides.open ?? { online: 0, batch: 0 },
    unseen: overrides.unseen ?? 0,
    suspectUntilMs: overrides.suspectUntilMs ?? 0,
    isLimited: overrides.isLimited ?? false,
    isRateOpen: overrides.isRateOpen ?? true,
  };
}

function createRequest(overrides: Partial<PlaceRequest>): PlaceRequest {
  return {
    candidates: [],
    tried: new Set(),
    ownDataCentre: "a",
    affinityKey: "prompt",
    meanServiceMs: 800,
    objectiveLeftMs: 300,
    maxWaitMs: 1_000,
    nowMs: 1,
    ...overrides,
  };
}

function place(overrides: Partial<PlaceRequest>): string {
  const placement = placeRequest(createRequest(overrides));
  return placement.kind === "placed" ? placement.upstream.id : placement.kind;
}

const full = { online: 8, batch: 0 };

test("the own data centre is preferred among idle upstreams", () => {
  const candidates = [
    createCandidate("b", { dataCentre: "b" }),
    createCandidate("a"),
  ];
  expect(place({ candidates })).toBe("a");
});

test("a free slot in another data centre is preferred to a queue in the own one", () => {
  const candidates = [
    createCandidate("a", { open: full }),
    createCandidate("b", { dataCentre: "b" }),
  ];
  expect(place({ candidates })).toBe("b");
});

test("a queue at a responsive upstream is preferred to a suspect upstream", () => {
  const candidates = [
    createCandidate("a", { open: { online: 11, batch: 0 } }),
    createCandidate("b", { suspectUntilMs: Number.POSITIVE_INFINITY }),
  ];
  expect(place({ candidates })).toBe("a");
});

test("a suspect upstream is used if there is no other", () => {
  const candidates = [createCandidate("a", { suspectUntilMs: 100 })];
  expect(place({ candidates })).toBe("a");
});

test("beyond the longest wait, the result says when there is room", () => {
  const candidates = [createCandidate("a", { open: { online: 30, batch: 0 } })];
  const placement = placeRequest(createRequest({ candidates }));
  expect(placement).toEqual({ kind: "full", freeInMs: 2_300 });
});

test("an upstream that failed the request is skipped", () => {
  const candidates = [createCandidate("a"), createCandidate("b")];
  expect(place({ candidates, tried: new Set(["a"]) })).toBe("b");
});

// Guards against a fault at the start of bursts: with all slots in use by batch
// items, requests went to upstreams full of online work as often as to others.
test("a slot that batch work yields is preferred to a queue of online work", () => {
  const candidates = [
    createCandidate("a", { open: full }),
    createCandidate("b", { dataCentre: "b", open: { online: 1, batch: 7 } }),
  ];
  expect(place({ candidates })).toBe("b");
});

test("among upstreams where batch work yields, the least online load wins", () => {
  const candidates = [
    createCandidate("a", { open: { online: 7, batch: 1 } }),
    createCandidate("b", { dataCentre: "b", open: { online: 2, batch: 6 } }),
  ];
  expect(place({ candidates })).toBe("b");
});

test("a free slot is preferred to one that batch work has to yield", () => {
  const candidates = [
    createCandidate("a", { open: { online: 0, batch: 8 } }),
    createCandidate("b", { dataCentre: "b", open: { online: 7, batch: 0 } }),
  ];
  expect(place({ candidates })).toBe("b");
});

test("an upstream with a closed ramp gets no request", () => {
  const candidates = [createCandidate("a", { isRateOpen: false })];
  expect(place({ candidates })).toBe("full");
});

test("without upstreams no wait is given", () => {
  expect(place({})).toBe("none");
});

test("an upstream with a limit is used once the others have no slot left", () => {
  const createCandidates = (open: Candidate["open"]) => [
    createCandidate("limited", { isLimited: true }),
    createCandidate("other", { dataCentre: "b", open }),
  ];
  const busy = { online: 7, batch: 0 };
  const yielding = { online: 7, batch: 1 };
  expect(place({ candidates: createCandidates(busy) })).toBe("other");
  expect(place({ candidates: createCandidates(yielding) })).toBe("other");
  expect(place({ candidates: createCandidates(full) })).toBe("limited");
});
