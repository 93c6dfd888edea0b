import type { Effect, InstanceState, Step } from "../instance/types.ts";
import { groupBy } from "../shared/group_by.ts";
import { rankByRendezvous } from "../shared/rank_by_rendezvous.ts";
import { buildHeartbeat } from "./build_heartbeat.ts";
import { MEMBERSHIP } from "./constants.ts";
import { listLivePeers } from "./list_live_peers.ts";
import type { Member } from "./types.ts";

/**
 * Sends a heartbeat to one instance of each other data centre when due. Only
 * the two delegates of a data centre send these.
 */
export function sendDelegateHeartbeats(
  state: InstanceState,
  nowMs: number,
): Step {
  const { membership, self } = state;
  if (nowMs < membership.nextDelegateMs) {
    return { state, effects: [] };
  }
  const nextDelegateMs = nowMs + MEMBERSHIP.DELEGATE_INTERVAL_MS;
  const after = { ...state, membership: { ...membership, nextDelegateMs } };
  if (!isDelegate(state, nowMs)) {
    return { state: after, effects: [] };
  }
  const message = buildHeartbeat(state, nowMs);
  const remoteMembers = Object.values(membership.members).filter(
    ({ dataCentre }) => dataCentre !== self.dataCentre,
  );
  const effects = [
    ...groupBy(remoteMembers, ({ dataCentre }) => dataCentre).values(),
  ]
    .flatMap((members) => chooseTarget(members, nowMs))
    .map(({ instanceId: to }): Effect => ({ kind: "send-peer", to, message }));
  return { state: after, effects };
}

function isDelegate(state: InstanceState, nowMs: number): boolean {
  const { self } = state;
  const live = listLivePeers(state, nowMs).filter(
    ({ isStopping }) => !isStopping,
  );
  const ids = [self.instanceId, ...live.map(({ instanceId }) => instanceId)];
  return rankByRendezvous(`delegate|${self.dataCentre}`, ids)
    .slice(0, MEMBERSHIP.DELEGATE_COUNT)
    .includes(self.instanceId);
}

/**
 * Chooses a receiver round-robin among the recently seen instances of a data
 * centre. If there are none, rotates over all its instances, so that a failed
 * one costs a single interval.
 */
function chooseTarget(
  members: readonly Member[],
  nowMs: number,
): readonly Member[] {
  const recent = members.filter(
    ({ lastSeenMs }) =>
      lastSeenMs > 0 && nowMs - lastSeenMs <= MEMBERSHIP.DELEGATE_TIMEOUT_MS,
  );
  const candidates = recent.length > 0 ? recent : members;
  const index =
    Math.floor(nowMs / MEMBERSHIP.DELEGATE_INTERVAL_MS) % candidates.length;
  return candidates.slice(index, index + 1);
}
