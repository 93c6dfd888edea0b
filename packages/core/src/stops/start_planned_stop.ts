import type { InstanceState } from "../instance/types.ts";

/**
 * Starts a planned stop. Requests are still accepted for `noticeMs`, until the
 * load balancer has noticed the stop. After that, new ones are refused as
 * "not run".
 */
export function startPlannedStop(
  state: InstanceState,
  noticeMs: number,
  nowMs: number,
): InstanceState {
  return state.isStopping
    ? state
    : { ...state, isStopping: true, refuseFromMs: nowMs + noticeMs };
}
