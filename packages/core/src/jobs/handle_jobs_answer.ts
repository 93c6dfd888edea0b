import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import type { PendingCall, PlatformAnswer } from "../platform/types.ts";
import { adoptJob } from "./adopt_job.ts";
import { cancelJob } from "./cancel_job.ts";
import { handleClaimAnswer } from "./handle_claim_answer.ts";
import { handleJobAnswer } from "./handle_job_answer.ts";
import { handleListAnswer } from "./handle_list_answer.ts";
import { handleOfferAnswer } from "./handle_offer_answer.ts";
import { handlePollAnswer } from "./handle_poll_answer.ts";
import { handleSegmentAnswer } from "./handle_segment_answer.ts";
import type { JobRecord } from "./types.ts";

/** Hands the platform's answer to the part of the jobs that asked. */
export function handleJobsAnswer(
  state: InstanceState,
  {
    asked,
    answer,
  }: { readonly asked: PendingCall; readonly answer: PlatformAnswer },
  nowMs: number,
): Step {
  const { what, id } = asked.purpose;
  const isDeaf = answer.kind === "unavailable";
  const heard = isDeaf
    ? { ...state, jobs: { ...state.jobs, deafMs: nowMs } }
    : state;
  switch (what) {
    case "poll":
      return handlePollAnswer(heard, answer, nowMs);
    case "offer":
      return handleOfferAnswer(heard, { offerId: id, answer }, nowMs);
    case "job":
      return handleJobAnswer(heard, { jobId: id, asked, answer }, nowMs);
    case "segment":
      return handleSegmentAnswer(heard, { name: id, asked, answer }, nowMs);
    case "segments":
      return handleListAnswer(heard, { jobId: id, answer }, nowMs);
    case "claim":
      return handleClaimAnswer(heard, { jobId: id, answer }, nowMs);
    case "cancel":
      return cancelFound(heard, answer, nowMs);
    default:
      throw new Error(`unknown purpose ${what}`);
  }
}

/** Cancels a job that this instance did not know until now. */
function cancelFound(
  state: InstanceState,
  answer: PlatformAnswer,
  nowMs: number,
): Step {
  if (answer.kind !== "got" || answer.record === undefined) {
    return { state, effects: [] };
  }
  const { value, version } = answer.record;
  const record = JSON.parse(value) as JobRecord;
  return chainStep(adoptJob(state, { record, version, nowMs }), (at) =>
    at.jobs.known[record.spec.jobId] === undefined
      ? { state: at, effects: [] }
      : cancelJob(at, record.spec, nowMs),
  );
}
