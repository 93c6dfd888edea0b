import { chainAll } from "../instance/chain_all.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { requestPlatformCall } from "../platform/request_platform_call.ts";
import { findShareCoordinator } from "./find_share_coordinator.ts";
import { finishShareReduction } from "./finish_share_reduction.ts";
import { setRebalance } from "./set_rebalance.ts";
import { SHARE_TIMES } from "./share_times.ts";

/** Starts or completes due rebalances of groups this instance coordinates. */
export function startRebalances(state: InstanceState, nowMs: number): Step {
  const { shares, membership } = state;
  if (
    nowMs < shares.nextCoordinationMs ||
    membership.incarnationStatus !== "current"
  ) {
    return { state, effects: [] };
  }
  const after: InstanceState = {
    ...state,
    shares: {
      ...shares,
      nextCoordinationMs: nowMs + SHARE_TIMES.COORDINATION_MS,
    },
  };
  const due = Object.keys(shares.groups).filter((groupId) =>
    isDue(after, groupId, nowMs),
  );
  return chainAll(after, due, (current, groupId) =>
    advanceRebalance(current, groupId, nowMs),
  );
}

function isDue(state: InstanceState, groupId: string, nowMs: number): boolean {
  const { rebalances, nextRebalanceMs } = state.shares;
  const running = rebalances[groupId];
  if (running !== undefined) {
    return running.phase === "lowering" && nowMs >= running.untilMs;
  }
  const isIntervalOver = nowMs >= (nextRebalanceMs[groupId] ?? 0);
  return (
    !state.isStopping &&
    isIntervalOver &&
    findShareCoordinator(state, groupId, nowMs) === state.self.instanceId
  );
}

function advanceRebalance(
  state: InstanceState,
  groupId: string,
  nowMs: number,
): Step {
  const running = state.shares.rebalances[groupId];
  if (running?.phase === "lowering") {
    return finishShareReduction(state, { groupId, reduction: running }, nowMs);
  }
  const nextMs = nowMs + SHARE_TIMES.REBALANCE_MS;
  const rebalance = { phase: "listing" } as const;
  return requestPlatformCall(
    setRebalance(state, groupId, { rebalance, nextMs }),
    { kind: "list", prefix: "instances/" },
    {
      purpose: { feature: "shares", operation: "instances", id: groupId },
      nowMs,
    },
  );
}
