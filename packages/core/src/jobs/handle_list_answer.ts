import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import type { PlatformAnswer } from "../platform/types.ts";
import { JOBS } from "./constants.ts";
import { endJob } from "./end_job.ts";
import { findClaimableSegment } from "./find_claimable_segment.ts";
import { readJobForClaim } from "./read_job_for_claim.ts";
import { recordLastSeen } from "./record_last_seen.ts";
import { setJob } from "./set_job.ts";
import { shouldClaimSegment } from "./should_claim_segment.ts";
import type { Job, ListedSegment, SegmentRecord } from "./types.ts";

/**
 * Claims a segment of the listed job if one is available, or finalizes the job.
 */
export function handleListAnswer(
  state: InstanceState,
  {
    jobId,
    answer,
  }: { readonly jobId: string; readonly answer: PlatformAnswer },
  nowMs: number,
): Step {
  const scanEnded = { ...state, jobs: { ...state.jobs, isScanning: false } };
  const job = scanEnded.jobs.known[jobId];
  if (job === undefined || answer.kind !== "listed") {
    return { state: scanEnded, effects: [] };
  }
  const listed = answer.records.map(
    ({ key, value, version }): ListedSegment => ({
      number: Number(key.slice(key.lastIndexOf("/") + 1)),
      version,
      record: JSON.parse(value) as SegmentRecord,
    }),
  );
  const observed = recordLastSeen(scanEnded, { jobId, listed }, nowMs);
  const claimable = findClaimableSegment(observed, { job, listed }, nowMs);
  const backedOff = setScanBackoff(observed, job, nowMs);
  if (claimable !== undefined) {
    return job.isCancelled || shouldClaimSegment(observed)
      ? readJobForClaim(observed, { job, claimable }, nowMs)
      : { state: backedOff, effects: [] };
  }
  return chainStep({ state: backedOff, effects: [] }, (current) =>
    endJob(current, { jobId, listed }, nowMs),
  );
}

function setScanBackoff(
  state: InstanceState,
  job: Job,
  nowMs: number,
): InstanceState {
  const scanBackoffUntilMs = nowMs + JOBS.SCAN_BACKOFF_MS;
  return setJob(state, { ...job, scanBackoffUntilMs });
}
