import { expect, test } from "vitest";
import { CRASHES } from "./constants.ts";
import { crashFixture } from "./crash_fixture.ts";
import { decideCrashBlocks } from "./decide_crash_blocks.ts";

const { NEVER, createCrash, createSuspect, listParts } = crashFixture;
const EVERY_MS = 50;
const RUN_MS = 500;

test("a part is blocked after five crashes whose requests overlap in time", () => {
  const crashes = Array.from({ length: CRASHES.MAX_CRASHES * 2 }, (_, place) =>
    createCrash(place * EVERY_MS, {
      ...createSuspect(`bad own${place}`),
      ranMs: RUN_MS,
    }),
  );
  expect(listParts(crashes)).toEqual(["bad"]);
});

test("bursts of a part that crashes all it reaches end, also beside crashes of another cause", () => {
  const crashes = Array.from({ length: 5 }, (_, burst) => burst).flatMap(
    (burst) => [
      ...Array.from({ length: 10 }, (_, place) =>
        createCrash(burst * 1_000 + place * 5, {
          ...createSuspect(`bad own${burst}-${place}`),
          ranMs: 100,
        }),
      ),
      ...Array.from({ length: 4 }, (_, place) =>
        createCrash(
          burst * 1_000 + 500 + place,
          createSuspect(`s${burst}-${place}`),
        ),
      ),
    ],
  );
  const blocks = decideCrashBlocks(crashes, NEVER, { nowMs: 6_000 });
  expect(blocks.map((block) => block.kind)).toEqual(["prompt"]);
});
