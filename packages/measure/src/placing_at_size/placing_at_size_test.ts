import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { simulatePlacing } from "./simulate_placing.ts";
import type { PlacingCounts } from "./types.ts";

/** Load of each upstream: four fifths of its slots are needed in bursts. */
const LOAD = { lullRate: 1.8, burstRate: 8.6, itemRate: 0.57 };
/** Three lulls and bursts. */
const FOR_MS = 17_400;
const LARGE = 64;
const SMALL = 8;
/** Edges for each worker. */
const EDGES_A_WORKER = 5;
/** Attempts more that a request may take in a large fleet. */
const MORE_ATTEMPTS = 0.1;
/** Runs more that may be cut in a large fleet, for an item done. */
const MORE_CUTS = 0.25;
/** Part of the requests that may be late in a fleet of any size. */
const LATE = 0.02;

beforeEach(() => {
  vi.useFakeTimers({ toFake: ["Date"] });
});

afterEach(() => {
  vi.useRealTimers();
});

function simulate(edges: number, seed: number) {
  return simulatePlacing({
    ...LOAD,
    edges,
    workers: Math.round(edges / EDGES_A_WORKER),
    upstreams: edges,
    dataCentres: 4,
    seed,
    forMs: FOR_MS,
    onTime: (nowMs) => vi.setSystemTime(nowMs),
  });
}

/** Adds up as many small fleets as have the work of a large one. */
function measure(edges: number) {
  const fleets = Array.from({ length: LARGE / edges }, (_, n) =>
    simulate(edges, n + 1),
  );
  const countAll = (name: keyof PlacingCounts): number =>
    fleets.reduce((total, counts) => total + counts[name], 0);
  return {
    attempts: countAll("attempts") / countAll("requests"),
    late: countAll("late") / countAll("requests"),
    cuts: countAll("cut") / countAll("itemsDone"),
    itemsLate: countAll("itemsLate"),
  };
}

// Guards against work thrown away in large fleets, whose loads are told less often.
test("at the same load, work is thrown away no more often in a large fleet", () => {
  const small = measure(SMALL);
  const large = measure(LARGE);
  expect(large.attempts).toBeLessThanOrEqual(small.attempts + MORE_ATTEMPTS);
  expect(large.cuts).toBeLessThanOrEqual(small.cuts + MORE_CUTS);
  expect(large.late).toBeLessThanOrEqual(LATE);
  expect(small.late).toBeLessThanOrEqual(LATE);
  expect(large.itemsLate + small.itemsLate).toBe(0);
});
