import type { InstanceState } from "../instance/types.ts";

/** Whether a stopping instance has finished or handed back all it held. */
export function isDrained(state: InstanceState, nowMs: number): boolean {
  return (
    state.isStopping &&
    nowMs >= state.refuseFromMs &&
    state.works.count === 0 &&
    Object.keys(state.waiting).length === 0 &&
    Object.keys(state.asks).length === 0 &&
    Object.keys(state.jobs.owned).length === 0
  );
}
