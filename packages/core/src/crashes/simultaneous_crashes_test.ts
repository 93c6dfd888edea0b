import fc from "fast-check";
import { expect, test } from "vitest";
import { crashLoadFixture } from "./crash_load_fixture.ts";
import type { CrashBlock } from "./types.ts";

const { runLoad } = crashLoadFixture;
const SOUND = { endMs: 2_000, deadlyPerSecond: 0, deadly: "request" } as const;
/** Time after the fifth crash from which on a request no longer runs. */
const MAX_AFTER_FIFTH_MS = 3_000;

const loads = fc.record({
  seed: fc.integer({ min: 1, max: 1_000_000 }),
  upstreams: fc.integer({ min: 8, max: 165 }),
  hotShare: fc.double({ min: 0, max: 1, noNaN: true }),
  repeatShare: fc.double({ min: 0, max: 1, noNaN: true }),
  crashedShare: fc.double({ min: 0.1, max: 0.9, noNaN: true }),
  spreadMs: fc.integer({ min: 0, max: 300 }),
  firstMs: fc.integer({ min: 10, max: 250 }),
  newsMs: fc.integer({ min: 5, max: 50 }),
});

test("upstreams that crash together for another cause block nothing that ran on them", () => {
  fc.assert(
    fc.property(loads, (load) => {
      expect(runLoad({ ...load, ...SOUND }).blocks).toEqual([]);
    }),
    { seed: 1, numRuns: 20 },
  );
});

test("what crashes upstreams is found at any size of the fleet", () => {
  fc.assert(
    fc.property(
      loads,
      fc.constantFrom("request" as const, "part" as const),
      fc.integer({ min: 5, max: 50 }),
      (load, deadly, deadlyPerSecond) => {
        const { blocks, deadlyCrashesMs } = runLoad({
          ...load,
          deadly,
          deadlyPerSecond,
          crashedShare: 0,
          endMs: 5_000,
        });
        const lastMs = deadlyCrashesMs.at(-1) ?? 0;
        const fifthMs = deadlyCrashesMs[4] ?? lastMs;
        const isSound = (block: CrashBlock): boolean =>
          block.kind === "request"
            ? block.request === "repeat"
            : !block.parts.includes("bad");
        expect(blocks.filter(isSound)).toEqual([]);
        expect(lastMs - fifthMs).toBeLessThanOrEqual(MAX_AFTER_FIFTH_MS);
      },
    ),
    { seed: 1, numRuns: 10 },
  );
});
