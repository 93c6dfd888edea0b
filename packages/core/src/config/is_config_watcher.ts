import type { InstanceState } from "../instance/types.ts";
import { listLivePeers } from "../membership/list_live_peers.ts";
import { rankByRendezvous } from "../shared/rank_by_rendezvous.ts";
import { CONFIG_PROPAGATION } from "./constants.ts";

/**
 * Returns whether this instance is one of its data centre's configuration
 * watchers. Instances that are shutting down or whose watch failed recently
 * are chosen only if there are no others.
 */
export function isConfigWatcher(state: InstanceState, nowMs: number): boolean {
  const { self, configPropagation: propagation, isStopping } = state;
  const isWatchBroken = nowMs < propagation.brokenUntilMs;
  const own = { instanceId: self.instanceId, isStopping, isWatchBroken };
  const members = [own, ...listLivePeers(state, nowMs)];
  const eligible = members.filter(
    (member) => !member.isWatchBroken && !member.isStopping,
  );
  const candidates = eligible.length > 0 ? eligible : members;
  const ids = candidates.map(({ instanceId }) => instanceId);
  return rankByRendezvous(`config-watch|${self.dataCentre}`, ids)
    .slice(0, CONFIG_PROPAGATION.WATCHER_COUNT)
    .includes(self.instanceId);
}
