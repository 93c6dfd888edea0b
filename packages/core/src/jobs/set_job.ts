import type { InstanceState } from "../instance/types.ts";
import { setEntry } from "../shared/set_entry.ts";
import type { Job } from "./types.ts";

/** Returns the state with a known job replaced. */
export function setJob(state: InstanceState, job: Job): InstanceState {
  const known = setEntry(state.jobs.known, job.record.spec.jobId, job);
  return { ...state, jobs: { ...state.jobs, known } };
}
