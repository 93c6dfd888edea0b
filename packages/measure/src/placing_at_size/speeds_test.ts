import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { countAll } from "./count_all.ts";
import { simulatePlacing } from "./simulate_placing.ts";

/** More than the upstreams can take in bursts. */
const LOAD = { lullRate: 2, burstRate: 11, itemRate: 0, keepsHeadroom: true };
const SEEDS = [1, 2, 3];
/** Part of the wait with one mean service time that may remain. */
const WAIT = 0.9;

beforeEach(() => {
  vi.useFakeTimers({ toFake: ["Date"] });
});

afterEach(() => {
  vi.useRealTimers();
});

function simulate(isSpeedBlind: boolean) {
  const fleets = SEEDS.map((seed) =>
    simulatePlacing({
      ...LOAD,
      edges: 12,
      workers: 1,
      upstreams: 12,
      dataCentres: 4,
      speeds: [0.6, 1, 1.6],
      slowFactor: 2.5,
      isSpeedBlind,
      seed,
      forMs: 23_200,
      onTime: (nowMs) => vi.setSystemTime(nowMs),
    }),
  );
  return {
    waitMs: countAll(fleets, "waitMs") / countAll(fleets, "requests"),
    late: countAll(fleets, "late") / countAll(fleets, "requests"),
  };
}

test("by upstreams' speeds requests wait less than by one mean service time", () => {
  const oneMean = simulate(true);
  const bySpeeds = simulate(false);
  expect(bySpeeds.waitMs).toBeLessThan(oneMean.waitMs * WAIT);
  expect(bySpeeds.late).toBeLessThan(oneMean.late);
});
