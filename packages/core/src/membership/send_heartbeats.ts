import type { Effect, InstanceState, Step } from "../instance/types.ts";
import { buildHeartbeat } from "./build_heartbeat.ts";
import { listPeers } from "./list_peers.ts";
import { MEMBERSHIP_TIMES } from "./membership_times.ts";
import type { Heartbeat, Member } from "./types.ts";

const BASE_INSTANCE_COUNT = 5;

/**
 * Sends heartbeats to all peers of the own data centre when due. Each echoes
 * the receiver's latest heartbeat, which confirms its incarnation.
 */
export function sendHeartbeats(state: InstanceState, nowMs: number): Step {
  const { membership } = state;
  if (nowMs < membership.nextHeartbeatMs) {
    return { state, effects: [] };
  }
  const message = buildHeartbeat(state, nowMs);
  const effects: readonly Effect[] = listPeers(state).map((member) => ({
    kind: "send-peer",
    to: member.instanceId,
    message: addEcho(message, member),
  }));
  const nextHeartbeatMs = nowMs + computeIntervalMs(state);
  return {
    state: { ...state, membership: { ...membership, nextHeartbeatMs } },
    effects,
  };
}

function addEcho(message: Heartbeat, member: Member): Heartbeat {
  const { number, lastSentMs, retired, lastSeenMs } = member;
  return lastSeenMs === 0 || number <= retired
    ? message
    : { ...message, echo: { number, sentMs: lastSentMs } };
}

function computeIntervalMs(state: InstanceState): number {
  const excess = Math.max(0, 1 + listPeers(state).length - BASE_INSTANCE_COUNT);
  const { HEARTBEAT_INTERVAL_MS, HEARTBEAT_STEP_MS } = MEMBERSHIP_TIMES;
  return HEARTBEAT_INTERVAL_MS + excess * HEARTBEAT_STEP_MS;
}
