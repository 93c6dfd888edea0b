import type { InstanceState } from "../instance/types.ts";
import type { WorkOrigin } from "../work/types.ts";
import { setItem } from "./set_item.ts";
import { ITEM_STATES } from "./types.ts";

/** Gives an item back to its job, to start again after `tries` tries. */
export function returnItem(
  state: InstanceState,
  { jobId, index }: Extract<WorkOrigin, { kind: "item" }>,
  tries: number,
): InstanceState {
  const job = state.jobs[jobId];
  if (job === undefined || job.phase !== "running") {
    return state;
  }
  const tried =
    tries === 0 ? job : { ...job, tries: { ...job.tries, [index]: tries } };
  return setItem(state, tried, { index, itemState: ITEM_STATES.PENDING });
}
