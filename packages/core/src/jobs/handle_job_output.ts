import type { JobId } from "../ids/types.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { JOBS } from "./constants.ts";
import { persistJob } from "./persist_job.ts";
import { setJob } from "./set_job.ts";
import type { JobOutput } from "./types.ts";

/**
 * Records that a job's files were built, or that building them must be retried.
 */
export function handleJobOutput(
  state: InstanceState,
  {
    jobId,
    output,
  }: { readonly jobId: JobId; readonly output: JobOutput | undefined },
  nowMs: number,
): Step {
  const job = state.jobs.known[jobId];
  if (job === undefined) {
    return { state, effects: [] };
  }
  const scanBackoffUntilMs = nowMs + JOBS.SCAN_BACKOFF_MS;
  const updated = setJob(state, {
    ...job,
    isBuildingOutput: false,
    builtOutput: output,
    scanBackoffUntilMs,
  });
  return persistJob(updated, jobId, nowMs);
}
