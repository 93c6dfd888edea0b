import { DUTIES, type RolloutBounds } from "@gooseberryline/core";
import type { LoadTracker } from "../fleet/load_tracker.ts";
import type { MemberRegistry } from "../fleet/member_registry.ts";
import { RolloutTracker } from "./rollout_tracker.ts";

type Parts = {
  readonly members: MemberRegistry;
  readonly load: LoadTracker;
  readonly readNowMs: () => number;
};

/** Creates an instance's part of the roll-outs, from what it knows of the fleet. */
export function createRolloutTracker(
  bounds: RolloutBounds | undefined,
  { members, load, readNowMs }: Parts,
): RolloutTracker {
  return new RolloutTracker({
    bounds,
    readNowMs,
    countServing: () => members.list(DUTIES.serve).length,
    hasRoom: ({ id, slots }) => {
      const { online, batch } = load.countInFlight(id, readNowMs());
      return online + batch <= slots;
    },
  });
}
