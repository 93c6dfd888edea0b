import type { InstanceState, Step } from "../instance/types.ts";
import { setEntry } from "../shared/set_entry.ts";
import { chooseGroupOwner } from "./choose_group_owner.ts";
import { CLAIMS } from "./constants.ts";
import { offerClaim } from "./offer_claim.ts";

/**
 * Requests the claim of a waiting request from its group owner. Each call
 * chooses the next owner in turn.
 */
export function requestClaim(
  state: InstanceState,
  workId: string,
  nowMs: number,
): Step {
  const waiting = state.claims.waitingRequests[workId];
  if (waiting === undefined) {
    return { state, effects: [] };
  }
  const { claimKey, retryCount } = waiting;
  const nextRetryMs = nowMs + CLAIMS.RETRY_INTERVAL_MS;
  const updated = { ...waiting, retryCount: retryCount + 1, nextRetryMs };
  const waitingRequests = setEntry(
    state.claims.waitingRequests,
    workId,
    updated,
  );
  const after = {
    ...state,
    claims: { ...state.claims, waitingRequests },
  };
  const owner = chooseGroupOwner(state, { claimKey, retryCount }, nowMs);
  const { instanceId } = state.self;
  return owner === instanceId
    ? offerClaim(
        after,
        { claimKey, token: workId, from: owner, isRelease: false },
        nowMs,
      )
    : {
        state: after,
        effects: [
          {
            kind: "send-peer",
            to: owner,
            message: { kind: "claim-asked", claimKey, token: workId },
          },
        ],
      };
}
