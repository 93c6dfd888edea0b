import type { InstanceState, Step } from "../instance/types.ts";
import { setEntry } from "../shared/set_entry.ts";
import { ITEM_STATES, type Job, type JobSpec } from "./types.ts";

/** Takes on a job whose input is safely stored; a known one is left as is. */
export function offerJob(state: InstanceState, spec: JobSpec): Step {
  if (state.jobs[spec.jobId] !== undefined) {
    return { state, effects: [] };
  }
  const job: Job = {
    spec,
    phase: "running",
    items: Array.from({ length: spec.itemCount }, () => ITEM_STATES.PENDING),
    tries: {},
    cursor: 0,
  };
  return {
    state: { ...state, jobs: setEntry(state.jobs, spec.jobId, job) },
    effects: [],
  };
}
