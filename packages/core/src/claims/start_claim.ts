import type { InstanceState, Step } from "../instance/types.ts";
import { setEntry } from "../shared/set_entry.ts";
import type { Work } from "../work/types.ts";
import { requestClaim } from "./request_claim.ts";
import type { WaitingRequest } from "./types.ts";

/** Requests the claim of a request, which is queued once it is granted. */
export function startClaim(
  state: InstanceState,
  work: Work,
  nowMs: number,
): Step {
  const { workId, claimKey = "" } = work.order;
  const waiting: WaitingRequest = {
    workId,
    claimKey,
    startedMs: nowMs,
    retryCount: 0,
    nextRetryMs: nowMs,
  };
  const waitingRequests = setEntry(
    state.claims.waitingRequests,
    workId,
    waiting,
  );
  const updated = {
    ...state,
    claims: { ...state.claims, waitingRequests },
  };
  return requestClaim(updated, workId, nowMs);
}
