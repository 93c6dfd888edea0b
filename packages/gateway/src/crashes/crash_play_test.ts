import {
  CRASHES,
  type CrashSuspect,
  chooseCrashWitnesses,
} from "@gooseberryline/core";
import fc from "fast-check";
import { expect, test } from "vitest";
import { crashRequest } from "../testing/crash_request.ts";
import { createCrashTrackers } from "../testing/create_crash_trackers.ts";

const { createKey } = crashRequest;
const INSTANCES = 12;
const STEP_MS = 10;
/** Time from a report to its arrival at peers and their look, in steps. */
const TELL_STEPS = 3;
const CANDIDATES = Array.from({ length: INSTANCES }, (_, index) => ({
  id: `i${index}`,
  dataCentre: `d${index % 4}`,
}));

/** A fleet whose instances look at upstreams that peers report, after a while. */
function createFleet(
  canReach: (instance: number, upstream: string) => boolean,
) {
  const fleet = createCrashTrackers(INSTANCES);
  const { clock, trackers, exchange } = fleet;
  let step = 0;
  const looks: { readonly atStep: number; readonly look: () => void }[] = [];
  trackers.forEach((tracker, index) => {
    tracker.onNewCrash = (crash) => {
      if (chooseCrashWitnesses(crash, CANDIDATES).includes(`i${index}`)) {
        const look = (): void =>
          canReach(index, crash.upstreamId)
            ? tracker.recordReached(crash.upstreamId, crash.atMs)
            : tracker.recordDown(crash.upstreamId, crash.atMs, []);
        looks.push({ atStep: step + TELL_STEPS, look });
      }
    };
  });
  const advance = (): void => {
    step += 1;
    clock.nowMs += STEP_MS;
    looks
      .filter(({ atStep }) => atStep === step)
      .forEach(({ look }) => {
        look();
      });
    if (step % TELL_STEPS === 0) {
      exchange();
      trackers.forEach((tracker) => {
        tracker.review();
      });
    }
  };
  return { ...fleet, advance };
}

test("repeats within milliseconds at twelve instances, two requests at a time, end soon", () => {
  fc.assert(
    fc.property(
      fc.infiniteStream(fc.nat(INSTANCES - 1)),
      fc.integer({ min: 1, max: 12 }),
      (instances, stepsBetween) => {
        const { clock, trackers, advance } = createFleet(() => false);
        const keys = [createKey("one"), createKey("two")];
        const crashTimesMs: number[] = [];
        for (let step = 0; step < 500; step += 1) {
          advance();
          const key = keys[step % 2];
          const tracker = trackers[instances.next().value ?? 0];
          const subject = {
            parts: [],
            customer: "c",
            hasKey: (request: string) => key?.matches(request) === true,
          };
          const isTurn = step % stepsBetween === 0;
          if (isTurn && tracker?.findBlock(subject) === undefined) {
            const suspect: CrashSuspect = {
              request: key?.full ?? "",
              parts: [],
              customer: "c",
              hasHead: true,
              hasBegun: false,
              ranMs: 0,
            };
            crashTimesMs.push(clock.nowMs);
            tracker?.recordDown(`u${step}`, clock.nowMs, [suspect]);
          }
        }
        const lastMs = crashTimesMs.at(-1) ?? 0;
        const sixthMs = crashTimesMs[5] ?? lastMs;
        expect(lastMs - sixthMs).toBeLessThanOrEqual(CRASHES.SETTLE_MS);
      },
    ),
    { seed: 1, numRuns: 12 },
  );
});

test("whatever instances are cut off from all upstreams, no block outlasts a second and a half", () => {
  fc.assert(
    fc.property(
      fc.subarray([...CANDIDATES.keys()], { minLength: 1, maxLength: 8 }),
      fc.infiniteStream(fc.nat(7)),
      (cut, upstreams) => {
        const fleet = createFleet((instance) => !cut.includes(instance));
        const { clock, trackers, activityMs, advance } = fleet;
        const cutAtMs = clock.nowMs;
        for (let step = 0; step < 150; step += 1) {
          advance();
          // The other instances go on to be answered by all upstreams.
          [0, 1, 2, 3, 4, 5, 6, 7].forEach((index) => {
            activityMs.set(`u${index}`, clock.nowMs);
          });
          const instance = cut[step % cut.length];
          if (instance !== undefined && clock.nowMs - cutAtMs < 500) {
            const suspect: CrashSuspect = {
              request: createKey(`request ${step % 3}`).full,
              parts: ["shared"],
              customer: `c${step % 3}`,
              hasHead: true,
              hasBegun: false,
              ranMs: 0,
            };
            const upstreamId = `u${upstreams.next().value ?? 0}`;
            trackers[instance]?.recordDown(upstreamId, clock.nowMs, [suspect]);
          }
        }
        expect(trackers.flatMap(({ blocks }) => blocks)).toEqual([]);
      },
    ),
    { seed: 1, numRuns: 12 },
  );
});
