import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { countAll } from "./count_all.ts";
import { simulatePlacing } from "./simulate_placing.ts";
import type { PlacingOptions } from "./types.ts";

/** Load of each upstream: four fifths of its slots are needed in bursts. */
const LOAD = { lullRate: 1.8, burstRate: 8.6, itemRate: 0.57 };
/** Load that leaves items three of eight slots, without lulls. */
const STEADY_LOAD = { ...LOAD, lullRate: 7, burstRate: 7 };
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
/** Time more that items may take since they leave online requests headroom. */
const MORE_TIME = 0.15;
const SEEDS = [1, 2, 3, 4];

beforeEach(() => {
  vi.useFakeTimers({ toFake: ["Date"] });
});

afterEach(() => {
  vi.useRealTimers();
});

function simulate(
  edges: number,
  seed: number,
  options: Partial<PlacingOptions> = {},
) {
  return simulatePlacing({
    ...LOAD,
    edges,
    workers: Math.round(edges / EDGES_A_WORKER),
    upstreams: edges,
    dataCentres: 4,
    seed,
    forMs: FOR_MS,
    onTime: (nowMs) => vi.setSystemTime(nowMs),
    ...options,
  });
}

/** Returns how long an item of a small fleet takes on average, in ms. */
function measureItemMs(keepsHeadroom: boolean): number {
  const options = { ...STEADY_LOAD, keepsHeadroom };
  const fleets = SEEDS.map((seed) => simulate(SMALL, seed, options));
  const totalMs = fleets.reduce((sum, { itemsMs }) => sum + itemsMs, 0);
  return totalMs / fleets.reduce((sum, { itemsDone }) => sum + itemsDone, 0);
}

/** Adds up as many small fleets as have the work of a large one. */
function measure(edges: number) {
  const fleets = Array.from({ length: LARGE / edges }, (_, n) =>
    simulate(edges, n + 1),
  );
  return {
    attempts: countAll(fleets, "attempts") / countAll(fleets, "requests"),
    late: countAll(fleets, "late") / countAll(fleets, "requests"),
    cuts: countAll(fleets, "cut") / countAll(fleets, "itemsDone"),
    itemsLate: countAll(fleets, "itemsLate"),
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

// Guards against slots that are kept from items although news of requests is fresh.
test("items of a small fleet hardly wait for slots that requests may need", () => {
  const longestMs = measureItemMs(false) * (1 + MORE_TIME);
  expect(measureItemMs(true)).toBeLessThanOrEqual(longestMs);
});
