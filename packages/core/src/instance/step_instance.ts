import { adoptConfig } from "../config/adopt_config.ts";
import { cancelJob } from "../jobs/cancel_job.ts";
import { offerJob } from "../jobs/offer_job.ts";
import { settleResult } from "../jobs/settle_result.ts";
import { settleLimits } from "../limits/settle_limits.ts";
import { askProof } from "../membership/ask_proof.ts";
import { noteList } from "../membership/note_list.ts";
import { noteStep } from "../membership/note_step.ts";
import { sendHeartbeats } from "../membership/send_heartbeats.ts";
import { handleAnswer } from "../platform/handle_answer.ts";
import { assertNever } from "../shared/assert_never.ts";
import { answerLowered } from "../shares/answer_lowered.ts";
import { pollGroups } from "../shares/poll_groups.ts";
import { reportDemand } from "../shares/report_demand.ts";
import { startRebalances } from "../shares/start_rebalances.ts";
import { abandonRequest } from "../work/abandon_request.ts";
import { acceptRequest } from "../work/accept_request.ts";
import { dispatchWork } from "../work/dispatch_work.ts";
import { endAttempt } from "../work/end_attempt.ts";
import { expireWork } from "../work/expire_work.ts";
import { noteFirstToken } from "../work/note_first_token.ts";
import { chainAll } from "./chain_all.ts";
import { chainStep } from "./chain_step.ts";
import { handleMessage } from "./handle_message.ts";
import type { InstanceEvent, InstanceState, Step } from "./types.ts";

/**
 * Steps an instance by one event. Pure: the clock comes in as `nowMs`, and
 * randomness from the seed in the state.
 */
export function stepInstance(
  state: InstanceState,
  event: InstanceEvent,
  nowMs: number,
): Step {
  const handled = handleEvent(noteStep(state, nowMs), event, nowMs);
  return chainStep(handled, (after) => dispatchWork(after, nowMs));
}

const TICK_STEPS = [
  expireWork,
  settleLimits,
  sendHeartbeats,
  askProof,
  pollGroups,
  reportDemand,
  answerLowered,
  startRebalances,
] as const;

function handleEvent(
  state: InstanceState,
  event: InstanceEvent,
  nowMs: number,
): Step {
  switch (event.kind) {
    case "config-offered":
      return adoptConfig(state, event.config, nowMs);
    case "request-arrived":
      return acceptRequest(state, event.order, nowMs);
    case "request-abandoned":
      return abandonRequest(state, event.workId);
    case "job-offered":
      return offerJob(state, event.spec);
    case "job-cancel-asked":
      return cancelJob(state, event.jobId);
    case "attempt-first-token":
      return noteFirstToken(state, event.attemptId);
    case "attempt-ended":
      return endAttempt(state, event, nowMs);
    case "result-stored":
      return settleResult(state, event);
    case "stop-asked":
      return { state: { ...state, isStopping: true }, effects: [] };
    case "peer-message":
      return handleMessage(state, event, nowMs);
    case "platform-answered":
      return handleAnswer(state, event, nowMs);
    case "instances-listed":
      return noteList(state, event.instances);
    case "tick":
      return chainAll(state, TICK_STEPS, (at, step) => step(at, nowMs));
    default:
      return assertNever(event);
  }
}
