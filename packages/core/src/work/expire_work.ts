import { chainAll } from "../instance/chain_all.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { cancelWork } from "./cancel_work.ts";

/** Ends work whose deadline has passed. */
export function expireWork(state: InstanceState, nowMs: number): Step {
  const late = Object.values(state.works)
    .filter(({ order }) => order.deadlineMs <= nowMs)
    .map(({ order }) => order.workId);
  return chainAll(state, late, (at, workId) =>
    cancelWork(at, workId, "deadline_exceeded"),
  );
}
