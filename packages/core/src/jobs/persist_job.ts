import type { InstanceState, Step } from "../instance/types.ts";
import { advanceJob } from "./advance_job.ts";
import type { Job } from "./types.ts";
import { writeJob } from "./write_job.ts";

/** Writes a pending cancellation or completion to a known job's record. */
export function persistJob(
  state: InstanceState,
  jobId: string,
  nowMs: number,
): Step {
  const job = state.jobs.known[jobId];
  if (job === undefined || job.isCallPending || nowMs < job.retryAtMs) {
    return { state, effects: [] };
  }
  if (job.builtOutput !== undefined) {
    const output = job.builtOutput;
    const completed = { ...advanceJob(job.record, "COMPLETE"), output };
    return writeJob(state, job, { record: completed, nowMs });
  }
  return shouldWriteCancellation(state, job)
    ? writeJob(state, job, { record: advanceJob(job.record, "CANCEL"), nowMs })
    : { state, effects: [] };
}

/**
 * Returns whether this instance, as receiver of the cancellation or as an
 * owner, has to record it.
 */
function shouldWriteCancellation(state: InstanceState, job: Job): boolean {
  const { jobId } = job.record.spec;
  const isUnrecorded = job.isCancelled && job.record.phase === "in_progress";
  return (
    isUnrecorded &&
    (job.hasCancelRequest ||
      Object.values(state.jobs.owned).some((owned) => owned.jobId === jobId))
  );
}
