import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import type { PlatformAnswer } from "../platform/types.ts";
import { adoptJob } from "./adopt_job.ts";
import { claimSegment } from "./claim_segment.ts";
import type { JobRecord } from "./types.ts";

/**
 * Claims the selected segment, unless its job has ended in the meantime. A
 * segment that has a record is claimed even if the job is being cancelled, so
 * that it is closed.
 */
export function handleClaimAnswer(
  state: InstanceState,
  {
    jobId,
    answer,
  }: { readonly jobId: string; readonly answer: PlatformAnswer },
  nowMs: number,
): Step {
  const { claim } = state.jobs;
  const jobs = { ...state.jobs, claim: undefined, isScanning: false };
  const scanEnded = { ...state, jobs };
  if (answer.kind !== "got" || answer.record === undefined) {
    return { state: scanEnded, effects: [] };
  }
  const { value, version } = answer.record;
  const record = JSON.parse(value) as JobRecord;
  return chainStep(
    adoptJob(scanEnded, { record, version, nowMs }),
    (current) => {
      const job = current.jobs.known[jobId];
      const hasEnded =
        record.phase !== "in_progress" && claim?.listed === undefined;
      return job === undefined || claim === undefined || hasEnded
        ? { state: current, effects: [] }
        : claimSegment(current, { job, ...claim }, nowMs);
    },
  );
}
