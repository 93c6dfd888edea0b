import type { InstanceId } from "../ids/types.ts";
import type { InstanceState } from "../instance/types.ts";
import { listLive } from "../membership/list_live.ts";
import { rankByRendezvous } from "../shared/rank_by_rendezvous.ts";
import { locateGroup } from "./locate_group.ts";

/**
 * One home for the whole fleet first, so that few instances write a group;
 * after that the own data centre's, which may be cut off from the others.
 */
export function chooseHomeInstance(
  state: InstanceState,
  { claimKey, tries }: { readonly claimKey: string; readonly tries: number },
  nowMs: number,
): InstanceId {
  const { self, membership } = state;
  const near = listLive(state, nowMs);
  const far = Object.values(membership.members).filter(
    ({ dataCentre }) => dataCentre !== self.dataCentre,
  );
  const members = tries === 0 ? [...near, ...far] : near;
  const ids = members
    .filter(({ isStopping }) => !isStopping)
    .map(({ instanceId }) => instanceId);
  const key = `claims|${locateGroup(claimKey)}`;
  const ranked = rankByRendezvous(key, [self.instanceId, ...ids]);
  const turn = Math.max(0, tries - 1) % ranked.length;
  return ranked[turn] ?? self.instanceId;
}
