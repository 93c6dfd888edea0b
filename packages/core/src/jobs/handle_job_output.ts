import type { JobId } from "../ids/types.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { JOBS } from "./constants.ts";
import { persistJob } from "./persist_job.ts";
import { setJob } from "./set_job.ts";
import type { JobOutput } from "./types.ts";

/** Notes that a job's files were built, or that it must be tried again. */
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
  const exhaustedUntilMs = nowMs + JOBS.EXHAUSTED_MS;
  const noted = setJob(state, {
    ...job,
    isBuilding: false,
    built: output,
    exhaustedUntilMs,
  });
  return persistJob(noted, jobId, nowMs);
}
