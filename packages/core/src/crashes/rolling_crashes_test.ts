import fc from "fast-check";
import { expect, test } from "vitest";
import { drawRandom } from "../shared/draw_random.ts";
import { crashWaveFixture } from "./crash_wave_fixture.ts";

const { runWaves } = crashWaveFixture;
const FIRST_MS = 1_000;
const EVERY_MS = 300;
const CRASHES_OF_EVENT = 33;

test("upstreams that crash one after the other for another cause block no sound request", () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 1_000_000 }),
      fc.integer({ min: 24, max: 80 }),
      (seed, upstreams) => {
        const ends = Array.from({ length: CRASHES_OF_EVENT }, (_, place) => ({
          index: Math.floor(drawRandom(seed + place).value * upstreams),
          atMs: FIRST_MS + place * EVERY_MS,
        }));
        const { blocks } = runWaves({
          seed,
          upstreams,
          ends,
          downMs: 2_000,
          hotShare: 0.6,
          repeatShare: 0.02,
          sessions: 200,
          arrivalShare: 0.03,
          firstMs: [200, 1_200],
          wholeAnswers: 4,
          newsMs: 20,
          againMs: 10,
          repeatMs: 300,
          endMs: 12_000,
        });
        expect(blocks).toEqual([]);
      },
    ),
    { seed: 1, numRuns: 30 },
  );
});
