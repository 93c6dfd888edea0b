import type { InstanceState, Step } from "../instance/types.ts";
import { listLivePeers } from "../membership/list_live_peers.ts";
import { requestPlatformCall } from "../platform/request_platform_call.ts";
import { buildGroupKey } from "./build_group_key.ts";
import { SHARE_TIMES } from "./share_times.ts";

/** Polls the group records: all of them at the start, then one at a time. */
export function pollGroups(state: InstanceState, nowMs: number): Step {
  const { shares } = state;
  if (nowMs < shares.nextPollMs) {
    return { state, effects: [] };
  }
  if (state.membership.number === 0) {
    return requestSharesFromPeer(state, nowMs);
  }
  const ids = Object.keys(shares.groups).sort();
  const customers = Object.keys(state.config?.document.customers ?? {});
  const hasAllGroups = customers.every(
    (customer) => shares.groups[buildGroupKey(customer)] !== undefined,
  );
  const unwritten = ids.find((id) => shares.groups[id]?.version === 0);
  const groupId = hasAllGroups
    ? (shares.staleGroup ?? unwritten ?? ids[shares.pollCount % ids.length])
    : undefined;
  const { POLL_INTERVAL_MS: POLL_MS, INITIAL_POLL_MS } = SHARE_TIMES;
  const isIncomplete = groupId === undefined || unwritten !== undefined;
  const intervalMs = isIncomplete ? INITIAL_POLL_MS : POLL_MS;
  const after: InstanceState = {
    ...state,
    shares: {
      ...shares,
      nextPollMs: nowMs + intervalMs,
      pollCount: shares.pollCount + 1,
      staleGroup: undefined,
    },
  };
  return groupId === undefined
    ? requestPlatformCall(
        after,
        { kind: "list", prefix: "shares/" },
        { purpose: { feature: "shares", operation: "list", id: "" }, nowMs },
      )
    : requestPlatformCall(
        after,
        { kind: "get", key: `shares/${groupId}` },
        {
          purpose: { feature: "shares", operation: "get", id: groupId },
          nowMs,
        },
      );
}

/**
 * Requests the known records from a peer while this instance is not yet
 * registered in the platform.
 */
function requestSharesFromPeer(state: InstanceState, nowMs: number): Step {
  const { shares } = state;
  const live = listLivePeers(state, nowMs);
  const nextPollMs = nowMs + SHARE_TIMES.INITIAL_POLL_MS;
  const peer = live[shares.pollCount % Math.max(1, live.length)];
  const hasNoGroups = Object.keys(shares.groups).length === 0;
  if (peer === undefined || !hasNoGroups) {
    return { state, effects: [] };
  }
  const pollCount = shares.pollCount + 1;
  const message = { kind: "shares-asked" } as const;
  return {
    state: { ...state, shares: { ...shares, nextPollMs, pollCount } },
    effects: [{ kind: "send-peer", to: peer.instanceId, message }],
  };
}
