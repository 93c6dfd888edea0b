import { chainAll } from "../instance/chain_all.ts";
import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { getSharded } from "../sharded/get_sharded.ts";
import { advanceClaimGroup } from "./advance_claim_group.ts";
import { CLAIMS } from "./constants.ts";
import { requestClaim } from "./request_claim.ts";
import { settleClaim } from "./settle_claim.ts";
import type { WaitingRequest } from "./types.ts";

/** Retries unanswered claim requests and advances all claim groups. */
export function stepClaims(state: InstanceState, nowMs: number): Step {
  const due = Object.values(state.claims.waitingRequests).filter(
    ({ nextRetryMs }) => nextRetryMs <= nowMs,
  );
  const retried = chainAll(state, due, (current, waiting) =>
    retryClaim(current, waiting, nowMs),
  );
  return chainStep(retried, (current) =>
    chainAll(current, Object.keys(current.claims.groups), (next, id) =>
      advanceClaimGroup(next, id, nowMs),
    ),
  );
}

function retryClaim(
  state: InstanceState,
  { workId, startedMs }: WaitingRequest,
  nowMs: number,
): Step {
  const isGone = getSharded(state.works, workId) === undefined;
  return isGone || nowMs - startedMs >= CLAIMS.CLAIM_TIMEOUT_MS
    ? settleClaim(state, { token: workId, verdict: "unavailable" })
    : requestClaim(state, workId, nowMs);
}
