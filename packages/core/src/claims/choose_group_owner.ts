import type { InstanceId } from "../ids/types.ts";
import type { InstanceState } from "../instance/types.ts";
import { listLivePeers } from "../membership/list_live_peers.ts";
import { rankByRendezvous } from "../shared/rank_by_rendezvous.ts";
import { locateGroup } from "./locate_group.ts";

/**
 * Chooses the instance that processes a claim key. The first request goes to
 * the fleet-wide owner of the key's group, so that few instances write to a
 * group. Retries go to instances of the own data centre in turn, as the other
 * data centres may be unreachable.
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
  const livePeers = listLivePeers(state, nowMs);
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
