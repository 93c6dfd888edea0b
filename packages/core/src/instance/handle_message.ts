import { offerClaim } from "../claims/offer_claim.ts";
import { settleClaim } from "../claims/settle_claim.ts";
import { answerConfig } from "../config/answer_config.ts";
import { handlePeerConfig } from "../config/handle_peer_config.ts";
import type { InstanceId } from "../ids/types.ts";
import { stopJob } from "../jobs/stop_job.ts";
import { handleLoanAnswer } from "../limits/handle_loan_answer.ts";
import { handleLoanRequest } from "../limits/handle_loan_request.ts";
import { recordHeartbeat } from "../membership/record_heartbeat.ts";
import { assertNever } from "../shared/assert_never.ts";
import { answerSharesRequest } from "../shares/answer_shares_request.ts";
import { handleReductionAnswer } from "../shares/handle_reduction_answer.ts";
import { handleSharesWritten } from "../shares/handle_shares_written.ts";
import { recordDemand } from "../shares/record_demand.ts";
import { reduceShares } from "../shares/reduce_shares.ts";
import { adoptGrants } from "../slots/adopt_grants.ts";
import { handleSlotReport } from "../slots/handle_slot_report.ts";
import type { InstanceState, PeerMessage, Step } from "./types.ts";

/** Dispatches a peer's message to its handler. */
export function handleMessage(
  state: InstanceState,
  {
    from,
    message,
  }: { readonly from: InstanceId; readonly message: PeerMessage },
  nowMs: number,
): Step {
  switch (message.kind) {
    case "heartbeat":
      return recordHeartbeat(state, from, { heartbeat: message, nowMs });
    case "claim-asked": {
      const { claimKey, token } = message;
      const claim = { claimKey, token, from, isRelease: false };
      return offerClaim(state, claim, nowMs);
    }
    case "claim-dropped": {
      const { claimKey, token } = message;
      const claim = { claimKey, token, from, isRelease: true };
      return offerClaim(state, claim, nowMs);
    }
    case "claim-answered":
      return settleClaim(state, message);
    case "job-cancelled":
      return stopJob(state, message.jobId, nowMs);
    case "config-asked":
      return answerConfig(state, from, message.have);
    case "config-sent":
      return handlePeerConfig(state, message.content, nowMs);
    case "slot-report":
      return handleSlotReport(state, from, { report: message, nowMs });
    case "slot-grants":
      return adoptGrants(state, from, { message, nowMs });
    case "loan-asked":
      return handleLoanRequest(state, { from, request: message }, nowMs);
    case "loan-answered":
      return handleLoanAnswer(state, { from, answer: message }, nowMs);
    case "demand-reported":
      return recordDemand(state, from, message);
    case "share-lower-asked":
      return reduceShares(state, { from, request: message }, nowMs);
    case "share-lowered":
      return handleReductionAnswer(state, { from, answer: message }, nowMs);
    case "shares-asked":
      return answerSharesRequest(state, from);
    case "shares-written":
      return handleSharesWritten(state, message, nowMs);
    default:
      return assertNever(message);
  }
}
