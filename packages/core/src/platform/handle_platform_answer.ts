import { handleClaimsAnswer } from "../claims/handle_claims_answer.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { handleJobsAnswer } from "../jobs/handle_jobs_answer.ts";
import { handleOwnRecord } from "../membership/handle_own_record.ts";
import { assertNever } from "../shared/assert_never.ts";
import { dropEntry } from "../shared/drop_entry.ts";
import { handleSharesAnswer } from "../shares/handle_shares_answer.ts";
import type { PlatformAnswer } from "./types.ts";

/** Routes the platform's answer to the feature that made the call. */
export function handlePlatformAnswer(
  state: InstanceState,
  {
    callId,
    answer,
  }: { readonly callId: string; readonly answer: PlatformAnswer },
  nowMs: number,
): Step {
  const pendingCall = state.platform.pending[callId];
  if (pendingCall === undefined) {
    return { state, effects: [] };
  }
  const isAvailable = answer.kind !== "unavailable";
  const platform = {
    ...state.platform,
    pending: dropEntry(state.platform.pending, callId),
    lastAnswerMs: isAvailable ? nowMs : state.platform.lastAnswerMs,
  };
  const updated: InstanceState = { ...state, platform };
  switch (pendingCall.purpose.feature) {
    case "claims":
      return handleClaimsAnswer(updated, { pendingCall, answer }, nowMs);
    case "jobs":
      return handleJobsAnswer(updated, { pendingCall, answer }, nowMs);
    case "shares":
      return handleSharesAnswer(updated, pendingCall, { answer, nowMs });
    case "membership":
      return handleOwnRecord(updated, pendingCall, { answer, nowMs });
    default:
      return assertNever(pendingCall.purpose);
  }
}
