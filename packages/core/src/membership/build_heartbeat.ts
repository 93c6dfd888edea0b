import type { InstanceState } from "../instance/types.ts";
import type { Heartbeat } from "./types.ts";

/** Builds the heartbeat of this instance, without an echo. */
export function buildHeartbeat(state: InstanceState, nowMs: number): Heartbeat {
  const { self, configPropagation: propagation, membership } = state;
  return {
    kind: "heartbeat",
    dataCentre: self.dataCentre,
    address: self.address,
    incarnation: self.incarnation,
    revision: state.config?.revision ?? 0,
    isStopping: state.isStopping,
    hasDisk: state.self.hasDisk,
    isWatchBroken: nowMs < propagation.brokenUntilMs,
    number: membership.number,
    sentMs: nowMs,
  };
}
