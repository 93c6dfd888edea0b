import type { InstanceState } from "../instance/types.ts";

/**
 * Begins a planned stop. Requests are still accepted for `noticeMs`, while
 * the balancer learns of it; after that new ones are refused, "not run".
 */
export function requestStop(
  state: InstanceState,
  noticeMs: number,
  nowMs: number,
): InstanceState {
  return state.isStopping
    ? state
    : { ...state, isStopping: true, refuseFromMs: nowMs + noticeMs };
}
