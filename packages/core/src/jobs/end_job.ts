import type { InstanceState, Step } from "../instance/types.ts";
import { advanceJob } from "./advance_job.ts";
import { JOBS } from "./constants.ts";
import { setJob } from "./set_job.ts";
import type { FoundSegment, Job } from "./types.ts";
import { writeJob } from "./write_job.ts";

/**
 * Ends a job whose segments have all ended: one instance enters itself in the
 * job's record and has the output and error files built.
 */
export function endJob(
  state: InstanceState,
  {
    jobId,
    found,
  }: { readonly jobId: string; readonly found: readonly FoundSegment[] },
  nowMs: number,
): Step {
  const job = state.jobs.known[jobId];
  if (job === undefined || !canEnd(job, found, nowMs)) {
    return { state, effects: [] };
  }
  const { record } = job;
  if (record.finalizer === state.self.incarnation) {
    return buildOutput(state, job, found);
  }
  const isTaken = record.finalizer !== undefined;
  const isStale = nowMs - job.seenMs >= JOBS.FINALIZE_MS;
  if (job.isAsking || (isTaken && !isStale)) {
    return { state, effects: [] };
  }
  const finalizer = state.self.incarnation;
  const ending =
    record.phase === "in_progress" ? advanceJob(record, "FINALIZE") : record;
  return writeJob(state, job, { record: { ...ending, finalizer }, nowMs });
}

function canEnd(
  { record, isCancelled, seenMs }: Job,
  found: readonly FoundSegment[],
  nowMs: number,
): boolean {
  const areClosed = found.every(({ record: { state } }) => state !== "open");
  if (record.phase === "cancelling") {
    const isSettled =
      record.finalizer !== undefined || nowMs - seenMs >= JOBS.SETTLE_MS;
    return areClosed && isSettled;
  }
  const count = Math.ceil(record.spec.itemCount / JOBS.SEGMENT_ITEMS);
  const areAll = found.length === count;
  const canFinish = record.phase === "finalizing" || !isCancelled;
  return areClosed && areAll && canFinish;
}

function buildOutput(
  state: InstanceState,
  job: Job,
  found: readonly FoundSegment[],
): Step {
  if (job.isBuilding || job.built !== undefined) {
    return { state, effects: [] };
  }
  const segments = found
    .toSorted((a, b) => a.number - b.number)
    .map(({ number, record: { parts } }) => ({
      first: number * JOBS.SEGMENT_ITEMS,
      parts,
    }));
  return {
    state: setJob(state, { ...job, isBuilding: true }),
    effects: [{ kind: "build-output", spec: job.record.spec, segments }],
  };
}
