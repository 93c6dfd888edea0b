import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import type { PlatformAnswer } from "../platform/types.ts";
import { checkClaim } from "./check_claim.ts";
import { JOBS } from "./constants.ts";
import { endJob } from "./end_job.ts";
import { findFreeSegment } from "./find_free_segment.ts";
import { recordLastSeen } from "./record_last_seen.ts";
import { setJob } from "./set_job.ts";
import { shouldClaim } from "./should_claim.ts";
import type { FoundSegment, Job, SegmentRecord } from "./types.ts";

/** Claims a free segment of the job that was listed, or ends the job. */
export function handleListAnswer(
  state: InstanceState,
  {
    jobId,
    answer,
  }: { readonly jobId: string; readonly answer: PlatformAnswer },
  nowMs: number,
): Step {
  const idle = { ...state, jobs: { ...state.jobs, isSeeking: false } };
  const job = idle.jobs.known[jobId];
  if (job === undefined || answer.kind !== "listed") {
    return { state: idle, effects: [] };
  }
  const found = answer.records.map(
    ({ key, value, version }): FoundSegment => ({
      number: Number(key.slice(key.lastIndexOf("/") + 1)),
      version,
      record: JSON.parse(value) as SegmentRecord,
    }),
  );
  const noted = recordLastSeen(idle, { jobId, found }, nowMs);
  const free = findFreeSegment(noted, { job, found }, nowMs);
  const exhausted = noteExhausted(noted, job, nowMs);
  if (free !== undefined) {
    return job.isCancelled || shouldClaim(noted)
      ? checkClaim(noted, { job, free }, nowMs)
      : { state: exhausted, effects: [] };
  }
  return chainStep({ state: exhausted, effects: [] }, (at) =>
    endJob(at, { jobId, found }, nowMs),
  );
}

function noteExhausted(
  state: InstanceState,
  job: Job,
  nowMs: number,
): InstanceState {
  const exhaustedUntilMs = nowMs + JOBS.EXHAUSTED_MS;
  return setJob(state, { ...job, exhaustedUntilMs });
}
