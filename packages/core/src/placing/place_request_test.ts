import { expect, test } from "vitest";
import { ENTRY_FIXTURE } from "./entry_fixture.ts";
import { placeRequest } from "./place_request.ts";
import type { Candidate, PlaceRequest } from "./types.ts";

function createCandidate(
  id: string,
  parts: Partial<Candidate> & { readonly dataCentre?: string } = {},
): Candidate {
  return {
    entry: { ...ENTRY_FIXTURE, id, dataCentre: parts.dataCentre ?? "a" },
    open: parts.open ?? { online: 0, batch: 0 },
    suspectUntilMs: parts.suspectUntilMs ?? 0,
    isRampOpen: parts.isRampOpen ?? true,
  };
}

function createRequest(parts: Partial<PlaceRequest>): PlaceRequest {
  return {
    candidates: [],
    tried: new Set(),
    ownDataCentre: "a",
    affinityKey: "prompt",
    meanServiceMs: 800,
    objectiveLeftMs: 300,
    patienceMs: 1_000,
    nowMs: 1,
    ...parts,
  };
}

function place(parts: Partial<PlaceRequest>): string {
  const placement = placeRequest(createRequest(parts));
  return placement.kind === "placed" ? placement.upstream.id : placement.kind;
}

const full = { online: 8, batch: 0 };

test("the own data centre goes first among the empty", () => {
  const candidates = [
    createCandidate("b", { dataCentre: "b" }),
    createCandidate("a"),
  ];
  expect(place({ candidates })).toBe("a");
});

test("a free slot elsewhere goes before a queue at home", () => {
  const candidates = [
    createCandidate("a", { open: full }),
    createCandidate("b", { dataCentre: "b" }),
  ];
  expect(place({ candidates })).toBe("b");
});

test("a queue at one in touch goes before one that is silent", () => {
  const candidates = [
    createCandidate("a", { open: { online: 11, batch: 0 } }),
    createCandidate("b", { suspectUntilMs: Number.POSITIVE_INFINITY }),
  ];
  expect(place({ candidates })).toBe("a");
});

test("a suspect one is better than none", () => {
  const candidates = [createCandidate("a", { suspectUntilMs: 100 })];
  expect(place({ candidates })).toBe("a");
});

test("beyond the caller's patience it is told when there is room", () => {
  const candidates = [createCandidate("a", { open: { online: 30, batch: 0 } })];
  const placement = placeRequest(createRequest({ candidates }));
  expect(placement).toEqual({ kind: "full", freeInMs: 2_300 });
});

test("one that failed the request is passed over", () => {
  const candidates = [createCandidate("a"), createCandidate("b")];
  expect(place({ candidates, tried: new Set(["a"]) })).toBe("b");
});

// Seen on ipacp quiet-1: at the onset of a burst, with batch items in all
// slots, requests went to upstreams full of online work as often as to others.
test("batch work that yields goes before a queue of online work", () => {
  const candidates = [
    createCandidate("a", { open: full }),
    createCandidate("b", { dataCentre: "b", open: { online: 1, batch: 7 } }),
  ];
  expect(place({ candidates })).toBe("b");
});

test("of those where batch work yields the one with least online", () => {
  const candidates = [
    createCandidate("a", { open: { online: 7, batch: 1 } }),
    createCandidate("b", { dataCentre: "b", open: { online: 2, batch: 6 } }),
  ];
  expect(place({ candidates })).toBe("b");
});

test("a free slot goes before one that batch work has to leave", () => {
  const candidates = [
    createCandidate("a", { open: { online: 0, batch: 8 } }),
    createCandidate("b", { dataCentre: "b", open: { online: 7, batch: 0 } }),
  ];
  expect(place({ candidates })).toBe("b");
});

test("a closed ramp gets nothing", () => {
  const candidates = [createCandidate("a", { isRampOpen: false })];
  expect(place({ candidates })).toBe("full");
});

test("without upstreams there is no room to wait for", () => {
  expect(place({})).toBe("none");
});
