import fc from "fast-check";
import { expect, test } from "vitest";
import { crashWaveFixture } from "./crash_wave_fixture.ts";

const { runWaves } = crashWaveFixture;
const WAVE_SPREAD_MS = 60;
const LOAD = {
  hotShare: 0.6,
  repeatShare: 0.02,
  sessions: 200,
  arrivalShare: 0.03,
  wholeAnswers: 4,
  againMs: 10,
  repeatMs: 300,
  endMs: 6_000,
} as const;

const loads = fc.record({
  seed: fc.integer({ min: 1, max: 1_000_000 }),
  upstreams: fc.integer({ min: 30, max: 120 }),
  downMs: fc.integer({ min: 500, max: 2_500 }),
  newsMs: fc.integer({ min: 5, max: 50 }),
  firstMs: fc.constantFrom([20, 300] as const, [200, 1_200] as const),
});

/** Ends upstreams whose place in a row of `every` is 0, all at about one moment. */
function listWave(upstreams: number, atMs: number, every: number) {
  return Array.from({ length: upstreams }, (_, index) => index)
    .filter((index) => index % every === 0)
    .map((index) => ({
      index,
      atMs: atMs + ((index * every) % WAVE_SPREAD_MS),
    }));
}

test("racks that crash one second apart block no sound request or part", () => {
  fc.assert(
    fc.property(loads, fc.integer({ min: 3, max: 6 }), (load, every) => {
      const ends = [1_000, 2_000, 3_000].flatMap((atMs, wave) =>
        listWave(load.upstreams, atMs, every + wave),
      );
      expect(runWaves({ ...LOAD, ...load, ends }).blocks).toEqual([]);
    }),
    { seed: 1, numRuns: 12 },
  );
});

test("a data centre lost, back and lost again blocks no sound request or part", () => {
  fc.assert(
    fc.property(loads, (load) => {
      const ends = [1_000, 4_000].flatMap((atMs) =>
        listWave(load.upstreams, atMs, 3),
      );
      expect(runWaves({ ...LOAD, ...load, ends }).blocks).toEqual([]);
    }),
    { seed: 1, numRuns: 12 },
  );
});
