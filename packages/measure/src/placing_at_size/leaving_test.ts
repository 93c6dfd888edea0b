import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { countAll } from "./count_all.ts";
import { simulatePlacing } from "./simulate_placing.ts";

const FLEET = {
  lullRate: 1.8,
  burstRate: 8.6,
  itemRate: 0.57,
  keepsHeadroom: true,
  edges: 24,
  workers: 5,
  upstreams: 24,
  dataCentres: 4,
  forMs: 17_400,
};
const EQUAL = [0.25, 0.25, 0.25, 0.25];
const UNEQUAL = [0.46, 0.18, 0.18, 0.18];
const SEEDS = [1, 2, 3];
const MS_PER_KB = 1;
/** Part of today's crossings that may remain, at most. */
const CROSSED = { equal: 0.3, unequal: 0.85 };
/** Wait that callers may lose by it, in ms, and part that may be late. */
const LOST_MS = 2;
const LATE = 0.01;

beforeEach(() => {
  vi.useFakeTimers({ toFake: ["Date"] });
});

afterEach(() => {
  vi.useRealTimers();
});

function simulate(demand: readonly number[], crossingMsPerKb?: number) {
  const fleets = SEEDS.map((seed) =>
    simulatePlacing({
      ...FLEET,
      demand,
      ...(crossingMsPerKb === undefined ? {} : { crossingMsPerKb }),
      seed,
      onTime: (nowMs) => vi.setSystemTime(nowMs),
    }),
  );
  return {
    waitMs: countAll(fleets, "waitMs") / countAll(fleets, "requests"),
    late: countAll(fleets, "late") / countAll(fleets, "requests"),
    crossed: countAll(fleets, "crossed") / countAll(fleets, "requests"),
  };
}

test.each([
  ["equal", EQUAL, CROSSED.equal],
  ["unequal", UNEQUAL, CROSSED.unequal],
] as const)(
  "at %s demand fewer requests cross, and wait no longer",
  (_, demand, most) => {
    const nearest = simulate(demand);
    const weighed = simulate(demand, MS_PER_KB);
    expect(weighed.crossed).toBeLessThanOrEqual(nearest.crossed * most);
    expect(weighed.waitMs).toBeLessThanOrEqual(nearest.waitMs + LOST_MS);
    expect(weighed.late).toBeLessThanOrEqual(LATE);
  },
);
