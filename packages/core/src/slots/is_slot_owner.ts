import type { InstanceState } from "../instance/types.ts";
import { rankByRendezvous } from "../shared/rank_by_rendezvous.ts";
import { listDataCentreInstances } from "./list_data_centre_instances.ts";
import { SLOT_TIMES } from "./slot_times.ts";

/**
 * Returns whether this instance owns the slots of its data centre: a majority
 * of the known instances vote for it, or exactly half including the first by
 * rank. Two instances can't both reach this quorum, as each votes for one at a
 * time.
 */
export function isSlotOwner(state: InstanceState, nowMs: number): boolean {
  const { instanceId, dataCentre } = state.self;
  if (state.slots.links[dataCentre]?.ownerId !== instanceId) {
    return false;
  }
  const instanceIds = listDataCentreInstances(state, dataCentre);
  const voters = instanceIds.filter(
    (id) =>
      id === instanceId ||
      nowMs - (state.slots.votes[id] ?? -SLOT_TIMES.VOTE_MS) <
        SLOT_TIMES.VOTE_MS,
  );
  if (voters.length * 2 === instanceIds.length) {
    const [first] = rankByRendezvous(`slots|${dataCentre}`, instanceIds);
    return first !== undefined && voters.includes(first);
  }
  return voters.length * 2 > instanceIds.length;
}
