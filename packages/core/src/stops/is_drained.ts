import type { InstanceState } from "../instance/types.ts";

/**
 * Returns whether a stopping instance accepts no more requests and has finished
 * or released all its work.
 */
export function isDrained(state: InstanceState, nowMs: number): boolean {
  return (
    state.isStopping &&
    nowMs >= state.refuseFromMs &&
    state.works.count === 0 &&
    Object.keys(state.tokenQueues).length === 0 &&
    Object.keys(state.loanRequests).length === 0 &&
    Object.keys(state.jobs.owned).length === 0
  );
}
