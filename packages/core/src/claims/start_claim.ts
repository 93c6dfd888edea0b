import type { InstanceState, Step } from "../instance/types.ts";
import { setEntry } from "../shared/set_entry.ts";
import type { Work } from "../work/types.ts";
import { requestClaim } from "./request_claim.ts";
import type { ClaimWait } from "./types.ts";

/** Asks for the claim of a request; it is queued once that is durable. */
export function startClaim(
  state: InstanceState,
  work: Work,
  nowMs: number,
): Step {
  const { workId, claimKey = "" } = work.order;
  const wait: ClaimWait = {
    workId,
    claimKey,
    startedMs: nowMs,
    tries: 0,
    retryMs: nowMs,
  };
  const waits = setEntry(state.claims.waits, workId, wait);
  const waiting = { ...state, claims: { ...state.claims, waits } };
  return requestClaim(waiting, workId, nowMs);
}
