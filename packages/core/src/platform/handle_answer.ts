import { handleClaimsAnswer } from "../claims/handle_claims_answer.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { handleJobsAnswer } from "../jobs/handle_jobs_answer.ts";
import { handleOwnRecord } from "../membership/handle_own_record.ts";
import { assertNever } from "../shared/assert_never.ts";
import { dropEntry } from "../shared/drop_entry.ts";
import { handleSharesAnswer } from "../shares/handle_shares_answer.ts";
import type { PlatformAnswer } from "./types.ts";

/** Hands the platform's answer to the feature that asked. */
export function handleAnswer(
  state: InstanceState,
  {
    callId,
    answer,
  }: { readonly callId: string; readonly answer: PlatformAnswer },
  nowMs: number,
): Step {
  const asked = state.platform.pending[callId];
  if (asked === undefined) {
    return { state, effects: [] };
  }
  const isHeard = answer.kind !== "unavailable";
  const platform = {
    ...state.platform,
    pending: dropEntry(state.platform.pending, callId),
    heardMs: isHeard ? nowMs : state.platform.heardMs,
  };
  const after: InstanceState = { ...state, platform };
  switch (asked.purpose.feature) {
    case "claims":
      return handleClaimsAnswer(after, { asked, answer }, nowMs);
    case "jobs":
      return handleJobsAnswer(after, { asked, answer }, nowMs);
    case "shares":
      return handleSharesAnswer(after, asked, { answer, nowMs });
    case "membership":
      return handleOwnRecord(after, asked, { answer, nowMs });
    default:
      return assertNever(asked.purpose);
  }
}
