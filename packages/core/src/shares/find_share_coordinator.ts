import type { InstanceId } from "../ids/types.ts";
import type { InstanceState } from "../instance/types.ts";
import { MEMBERSHIP_TIMES } from "../membership/membership_times.ts";
import type { Member } from "../membership/types.ts";
import { rankByRendezvous } from "../shared/rank_by_rendezvous.ts";

/**
 * Finds the share coordinator of a group by rendezvous hashing over the live
 * instances. If two instances disagree, compare-and-swap on the group's record
 * lets only one of them write.
 */
export function findShareCoordinator(
  state: InstanceState,
  groupId: string,
  nowMs: number,
): InstanceId {
  const { membership, self } = state;
  const isEligible = (member: Member): boolean => {
    const isLocal = member.dataCentre === self.dataCentre;
    const isResponsive =
      nowMs - member.lastSeenMs <= MEMBERSHIP_TIMES.FAILURE_TIMEOUT_MS;
    return (
      !member.isStopping && (isResponsive || (!isLocal && member.isListed))
    );
  };
  const others = Object.values(membership.members)
    .filter(isEligible)
    .map(({ instanceId }) => instanceId);
  const ranked = rankByRendezvous(`shares|${groupId}`, [
    self.instanceId,
    ...others,
  ]);
  return ranked[0] ?? self.instanceId;
}
