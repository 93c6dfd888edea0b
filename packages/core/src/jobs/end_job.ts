import type { InstanceState, Step } from "../instance/types.ts";
import { advanceJob } from "./advance_job.ts";
import { JOBS } from "./constants.ts";
import { setJob } from "./set_job.ts";
import type { Job, ListedSegment } from "./types.ts";
import { writeJob } from "./write_job.ts";

/**
 * Finalizes a job once all its segments have ended. One instance registers as
 * the finalizer in the job's record and builds the output and error files.
 */
export function endJob(
  state: InstanceState,
  {
    jobId,
    listed,
  }: { readonly jobId: string; readonly listed: readonly ListedSegment[] },
  nowMs: number,
): Step {
  const job = state.jobs.known[jobId];
  if (job === undefined || !canEnd(job, listed, nowMs)) {
    return { state, effects: [] };
  }
  const { record } = job;
  if (record.finalizer === state.self.incarnation) {
    return buildOutput(state, job, listed);
  }
  const hasFinalizer = record.finalizer !== undefined;
  const isFinalizerStale =
    nowMs - job.changeSeenAtMs >= JOBS.FINALIZER_TIMEOUT_MS;
  if (job.isCallPending || (hasFinalizer && !isFinalizerStale)) {
    return { state, effects: [] };
  }
  const finalizer = state.self.incarnation;
  const finalizing =
    record.phase === "in_progress" ? advanceJob(record, "FINALIZE") : record;
  return writeJob(state, job, { record: { ...finalizing, finalizer }, nowMs });
}

function canEnd(
  { record, isCancelled, changeSeenAtMs }: Job,
  listed: readonly ListedSegment[],
  nowMs: number,
): boolean {
  const areAllClosed = listed.every(
    ({ record: { state } }) => state !== "open",
  );
  if (record.phase === "cancelling") {
    const isGracePeriodOver =
      record.finalizer !== undefined ||
      nowMs - changeSeenAtMs >= JOBS.CANCEL_GRACE_MS;
    return areAllClosed && isGracePeriodOver;
  }
  const count = Math.ceil(record.spec.itemCount / JOBS.SEGMENT_ITEMS);
  const areAllListed = listed.length === count;
  const canFinish = record.phase === "finalizing" || !isCancelled;
  return areAllClosed && areAllListed && canFinish;
}

function buildOutput(
  state: InstanceState,
  job: Job,
  listed: readonly ListedSegment[],
): Step {
  if (job.isBuildingOutput || job.builtOutput !== undefined) {
    return { state, effects: [] };
  }
  const segments = listed
    .toSorted((a, b) => a.number - b.number)
    .map(({ number, record: { parts } }) => ({
      first: number * JOBS.SEGMENT_ITEMS,
      parts,
    }));
  return {
    state: setJob(state, { ...job, isBuildingOutput: true }),
    effects: [{ kind: "build-output", spec: job.record.spec, segments }],
  };
}
