import type { InstanceState } from "../instance/types.ts";
import { setEntry } from "../shared/set_entry.ts";
import type { ItemState, Job } from "./types.ts";

/** Returns the state with one item of `job` moved to `itemState`. */
export function setItem(
  state: InstanceState,
  job: Job,
  {
    index,
    itemState,
  }: { readonly index: number; readonly itemState: ItemState },
): InstanceState {
  const items = job.items.with(index, itemState);
  const moved = { ...job, items, cursor: Math.min(job.cursor, index) };
  return { ...state, jobs: setEntry(state.jobs, job.spec.jobId, moved) };
}
