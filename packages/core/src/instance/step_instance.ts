import { stepClaims } from "../claims/step_claims.ts";
import { offerConfig } from "../config/offer_config.ts";
import { recordWatchResult } from "../config/record_watch_result.ts";
import { stepConfigPropagation } from "../config/step_config_propagation.ts";
import { checkInvariant } from "../invariants/check_invariant.ts";
import { cancelJob } from "../jobs/cancel_job.ts";
import { handleJobOutput } from "../jobs/handle_job_output.ts";
import { offerJob } from "../jobs/offer_job.ts";
import { recordStoredResult } from "../jobs/record_stored_result.ts";
import { retryResult } from "../jobs/retry_result.ts";
import { stepJobs } from "../jobs/step_jobs.ts";
import { settleLimits } from "../limits/settle_limits.ts";
import { mergeInstanceList } from "../membership/merge_instance_list.ts";
import { recordStep } from "../membership/record_step.ts";
import { requestOwnRecord } from "../membership/request_own_record.ts";
import { sendDelegateHeartbeats } from "../membership/send_delegate_heartbeats.ts";
import { sendHeartbeats } from "../membership/send_heartbeats.ts";
import { handlePlatformAnswer } from "../platform/handle_platform_answer.ts";
import { assertNever } from "../shared/assert_never.ts";
import { pollGroups } from "../shares/poll_groups.ts";
import { reportDemand } from "../shares/report_demand.ts";
import { sendReductionAnswers } from "../shares/send_reduction_answers.ts";
import { startRebalances } from "../shares/start_rebalances.ts";
import { takeOverShares } from "../shares/take_over_shares.ts";
import { checkPlannedStop } from "../stops/check_planned_stop.ts";
import { startPlannedStop } from "../stops/start_planned_stop.ts";
import { abandonRequest } from "../work/abandon_request.ts";
import { acceptRequest } from "../work/accept_request.ts";
import { dispatchWork } from "../work/dispatch_work.ts";
import { endAttempt } from "../work/end_attempt.ts";
import { expireWork } from "../work/expire_work.ts";
import { recordFirstToken } from "../work/record_first_token.ts";
import { chainAll } from "./chain_all.ts";
import { chainStep } from "./chain_step.ts";
import { handleMessage } from "./handle_message.ts";
import type { InstanceEvent, InstanceState, Step } from "./types.ts";

/**
 * Applies one event to the state of an instance. A pure function: time is
 * passed in as `nowMs`, and randomness derives from the seed in the state.
 */
export function stepInstance(
  state: InstanceState,
  event: InstanceEvent,
  nowMs: number,
): Step {
  const handled = handleEvent(recordStep(state, nowMs), event, nowMs);
  const before = state.config?.revision ?? 0;
  const after = handled.state.config?.revision ?? 0;
  checkInvariant(
    "revision-never-reverts",
    after >= before,
    () => `${before} to ${after} at ${event.kind}`,
  );
  return chainStep(handled, (current) => dispatchWork(current, nowMs));
}

const TICK_STEPS = [
  expireWork,
  settleLimits,
  sendHeartbeats,
  sendDelegateHeartbeats,
  stepConfigPropagation,
  stepJobs,
  stepClaims,
  requestOwnRecord,
  pollGroups,
  reportDemand,
  sendReductionAnswers,
  takeOverShares,
  startRebalances,
] as const;

function handleEvent(
  state: InstanceState,
  event: InstanceEvent,
  nowMs: number,
): Step {
  switch (event.kind) {
    case "config-offered":
      return offerConfig(state, event, nowMs);
    case "config-watch-ended":
      return {
        state: recordWatchResult(state, event.isReached, nowMs),
        effects: [],
      };
    case "request-arrived":
      return acceptRequest(state, event.order, nowMs);
    case "request-abandoned":
      return abandonRequest(state, event.workId);
    case "job-offered":
      return offerJob(state, event, nowMs);
    case "job-cancel-asked":
      return cancelJob(state, event, nowMs);
    case "attempt-first-token":
      return recordFirstToken(state, event, nowMs);
    case "attempt-ended":
      return endAttempt(state, event, nowMs);
    case "result-stored":
      return recordStoredResult(state, event, nowMs);
    case "result-store-failed":
      return retryResult(state, event);
    case "output-built":
      return handleJobOutput(state, event, nowMs);
    case "stop-asked":
      return {
        state: startPlannedStop(state, event.noticeMs ?? 0, nowMs),
        effects: [],
      };
    case "stop-ended":
      return { state: checkPlannedStop(state), effects: [] };
    case "peer-message":
      return handleMessage(state, event, nowMs);
    case "platform-answered":
      return handlePlatformAnswer(state, event, nowMs);
    case "instances-listed":
      return mergeInstanceList(state, event, nowMs);
    case "tick":
      return chainAll(state, TICK_STEPS, (current, step) =>
        step(current, nowMs),
      );
    default:
      return assertNever(event);
  }
}
