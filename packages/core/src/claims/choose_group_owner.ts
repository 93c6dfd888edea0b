import type { InstanceId } from "../ids/types.ts";
import type { InstanceState } from "../instance/types.ts";
import { listLive } from "../membership/list_live.ts";
import { rankByRendezvous } from "../shared/rank_by_rendezvous.ts";
import { locateGroup } from "./locate_group.ts";

/**
 * One home for the whole fleet first, so that few instances write a group;
 * after that the own data centre's, which may be cut off from the others.
 */
export function chooseGroupOwner(
  state: InstanceState,
  {
    claimKey,
    retryCount,
  }: { readonly claimKey: string; readonly retryCount: number },
  nowMs: number,
): InstanceId {
  const { self, membership } = state;
  const livePeers = listLive(state, nowMs);
  const remoteMembers = Object.values(membership.members).filter(
    ({ dataCentre }) => dataCentre !== self.dataCentre,
  );
  const candidates =
    retryCount === 0 ? [...livePeers, ...remoteMembers] : livePeers;
  const ids = candidates
    .filter(({ isStopping }) => !isStopping)
    .map(({ instanceId }) => instanceId);
  const key = `claims|${locateGroup(claimKey)}`;
  const ranked = rankByRendezvous(key, [self.instanceId, ...ids]);
  const offset = Math.max(0, retryCount - 1) % ranked.length;
  return ranked[offset] ?? self.instanceId;
}
