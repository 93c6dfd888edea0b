import type { Effect, InstanceState, Step } from "../instance/types.ts";
import { buildHeartbeat } from "./build_heartbeat.ts";

const HEARTBEAT_MS = 250;

/** Sends a heartbeat to every instance of the data centre when due. */
export function sendHeartbeats(state: InstanceState, nowMs: number): Step {
  const { membership, self } = state;
  if (nowMs < membership.nextHeartbeatMs) {
    return { state, effects: [] };
  }
  const message = buildHeartbeat(state, nowMs);
  const effects: readonly Effect[] = Object.values(membership.members)
    .filter(({ dataCentre }) => dataCentre === self.dataCentre)
    .map(({ instanceId: to }) => ({ kind: "send-peer", to, message }));
  const nextHeartbeatMs = nowMs + HEARTBEAT_MS;
  return {
    state: { ...state, membership: { ...membership, nextHeartbeatMs } },
    effects,
  };
}
