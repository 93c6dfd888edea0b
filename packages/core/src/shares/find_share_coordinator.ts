import type { InstanceId } from "../ids/types.ts";
import type { InstanceState } from "../instance/types.ts";
import { MEMBERSHIP_TIMES } from "../membership/membership_times.ts";
import type { Member } from "../membership/types.ts";
import { rankByRendezvous } from "../shared/rank_by_rendezvous.ts";

/**
 * Finds the instance that divides a group's shares: by rendezvous hashing
 * among the live ones. Two that disagree are kept apart by CAS.
 */
export function findShareCoordinator(
  state: InstanceState,
  groupId: string,
  nowMs: number,
): InstanceId {
  const { membership, self } = state;
  const isFit = (member: Member): boolean => {
    const isNear = member.dataCentre === self.dataCentre;
    const isHeard = nowMs - member.heardMs <= MEMBERSHIP_TIMES.SILENT_MS;
    return !member.isStopping && (isHeard || (!isNear && member.isListed));
  };
  const others = Object.values(membership.members)
    .filter(isFit)
    .map(({ instanceId }) => instanceId);
  const ranked = rankByRendezvous(`shares|${groupId}`, [
    self.instanceId,
    ...others,
  ]);
  return ranked[0] ?? self.instanceId;
}
