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

/** Dispatches a platform answer to the handler for the purpose of the call. */
export function handleJobsAnswer(
  state: InstanceState,
  {
    pendingCall,
    answer,
  }: { readonly pendingCall: PendingCall; readonly answer: PlatformAnswer },
  nowMs: number,
): Step {
  const { operation, id } = pendingCall.purpose;
  const isStoreUnavailable = answer.kind === "unavailable";
  const updated = isStoreUnavailable
    ? { ...state, jobs: { ...state.jobs, storeUnavailableAtMs: nowMs } }
    : state;
  switch (operation) {
    case "poll":
      return handlePollAnswer(updated, answer, nowMs);
    case "offer":
      return handleOfferAnswer(updated, { offerId: id, answer }, nowMs);
    case "job":
      return handleJobAnswer(
        updated,
        { jobId: id, pendingCall, answer },
        nowMs,
      );
    case "segment":
      return handleSegmentAnswer(
        updated,
        { name: id, pendingCall, answer },
        nowMs,
      );
    case "segments":
      return handleListAnswer(updated, { jobId: id, answer }, nowMs);
    case "claim":
      return handleClaimAnswer(updated, { jobId: id, answer }, nowMs);
    case "cancel":
      return cancelUnknownJob(updated, answer, nowMs);
    default:
      throw new Error(`unknown purpose ${operation}`);
  }
}

/**
 * Cancels a job that was unknown to this instance, using the record just read.
 */
function cancelUnknownJob(
  state: InstanceState,
  answer: PlatformAnswer,
  nowMs: number,
): Step {
  if (answer.kind !== "got" || answer.record === undefined) {
    return { state, effects: [] };
  }
  const { value, version } = answer.record;
  const record = JSON.parse(value) as JobRecord;
  return chainStep(adoptJob(state, { record, version, nowMs }), (current) =>
    current.jobs.known[record.spec.jobId] === undefined
      ? { state: current, effects: [] }
      : cancelJob(current, record.spec, nowMs),
  );
}
