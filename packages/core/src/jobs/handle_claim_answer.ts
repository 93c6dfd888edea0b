import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import type { PlatformAnswer } from "../platform/types.ts";
import { adoptJob } from "./adopt_job.ts";
import { claimSegment } from "./claim_segment.ts";
import type { JobRecord } from "./types.ts";

/** Claims the segment that was found, unless its job has ended since. */
export function handleClaimAnswer(
  state: InstanceState,
  {
    jobId,
    answer,
  }: { readonly jobId: string; readonly answer: PlatformAnswer },
  nowMs: number,
): Step {
  const { claim } = state.jobs;
  const jobs = { ...state.jobs, claim: undefined, isSeeking: false };
  const idle = { ...state, jobs };
  if (answer.kind !== "got" || answer.record === undefined) {
    return { state: idle, effects: [] };
  }
  const { value, version } = answer.record;
  const record = JSON.parse(value) as JobRecord;
  return chainStep(adoptJob(idle, { record, version, nowMs }), (at) => {
    const job = at.jobs.known[jobId];
    const isOver = record.phase !== "in_progress" && claim?.found === undefined;
    return job === undefined || claim === undefined || isOver
      ? { state: at, effects: [] }
      : claimSegment(at, { job, ...claim }, nowMs);
  });
}
