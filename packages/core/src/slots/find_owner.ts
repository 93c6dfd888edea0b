import type { DataCentreId, InstanceId } from "../ids/types.ts";
import type { InstanceState } from "../instance/types.ts";
import { rankByRendezvous } from "../shared/rank_by_rendezvous.ts";
import { listDataCentreInstances } from "./list_data_centre_instances.ts";
import { SLOT_TIMES } from "./slot_times.ts";

/**
 * Finds the expected slot owner of a data centre: the first responsive instance
 * by rendezvous hashing. For another data centre it is the first listed one,
 * since its heartbeats are not received here; `skip` passes over instances that
 * did not answer.
 */
export function findOwner(
  state: InstanceState,
  dataCentre: DataCentreId,
  { nowMs, skip = 0 }: { readonly nowMs: number; readonly skip?: number },
): InstanceId | undefined {
  const instanceIds = listDataCentreInstances(state, dataCentre);
  const ranked = rankByRendezvous(`slots|${dataCentre}`, instanceIds);
  if (dataCentre !== state.self.dataCentre) {
    return ranked[ranked.length === 0 ? 0 : skip % ranked.length];
  }
  return ranked.find((id) => isResponsive(state, id, nowMs));
}

function isResponsive(
  state: InstanceState,
  id: InstanceId,
  nowMs: number,
): boolean {
  if (id === state.self.instanceId) {
    return true;
  }
  const member = state.membership.members[id];
  return (
    member !== undefined &&
    nowMs - member.lastSeenMs < SLOT_TIMES.OWNER_TIMEOUT_MS
  );
}
