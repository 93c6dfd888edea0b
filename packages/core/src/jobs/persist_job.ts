import type { InstanceState, Step } from "../instance/types.ts";
import { advanceJob } from "./advance_job.ts";
import type { Job } from "./types.ts";
import { writeJob } from "./write_job.ts";

/** Writes what a known job's record still lacks: a cancellation, its end. */
export function persistJob(
  state: InstanceState,
  jobId: string,
  nowMs: number,
): Step {
  const job = state.jobs.known[jobId];
  if (job === undefined || job.isAsking || nowMs < job.retryMs) {
    return { state, effects: [] };
  }
  if (job.built !== undefined) {
    const output = job.built;
    const ended = { ...advanceJob(job.record, "COMPLETE"), output };
    return writeJob(state, job, { record: ended, nowMs });
  }
  return shouldWriteCancel(state, job)
    ? writeJob(state, job, { record: advanceJob(job.record, "CANCEL"), nowMs })
    : { state, effects: [] };
}

/** The caller's instance and the owners see to it that the record says so. */
function shouldWriteCancel(state: InstanceState, job: Job): boolean {
  const { jobId } = job.record.spec;
  const isUnwritten = job.isCancelled && job.record.phase === "in_progress";
  return (
    isUnwritten &&
    (job.isCanceller ||
      Object.values(state.jobs.owned).some((owned) => owned.jobId === jobId))
  );
}
