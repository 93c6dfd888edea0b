import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { checkInvariant } from "../invariants/check_invariant.ts";
import { enqueueWork } from "../queue/enqueue_work.ts";
import { getSharded } from "../sharded/get_sharded.ts";
import { setSharded } from "../sharded/set_sharded.ts";
import { dropEntry } from "../shared/drop_entry.ts";
import { advancePhase } from "../work/advance_phase.ts";
import { refuseRequest } from "../work/refuse_request.ts";
import type { Refusal } from "../work/types.ts";
import { releaseClaim } from "./release_claim.ts";
import type { ClaimVerdict } from "./types.ts";

/**
 * Applies the verdict on a claim: queues the request if the claim was granted,
 * else refuses it. Releases the claim if its request no longer exists.
 */
export function settleClaim(
  state: InstanceState,
  {
    token,
    verdict,
  }: { readonly token: string; readonly verdict: ClaimVerdict },
): Step {
  const waiting = state.claims.waitingRequests[token];
  const work = getSharded(state.works, token);
  if (waiting === undefined) {
    return { state, effects: [] };
  }
  const waitingRequests = dropEntry(state.claims.waitingRequests, token);
  const after = {
    ...state,
    claims: { ...state.claims, waitingRequests },
  };
  if (work === undefined) {
    const { claimKey } = waiting;
    return releaseClaim(after, { claimKey, token });
  }
  if (work.phase !== "claiming") {
    return { state: after, effects: [] };
  }
  checkInvariant(
    "non-idempotent-runs-once",
    work.attemptCount === 0,
    () => `${token} ran before its claim`,
  );
  if (verdict === "granted") {
    const queued = advancePhase(work, "CLAIMED");
    const works = setSharded(after.works, token, queued);
    return { state: enqueueWork({ ...after, works }, queued), effects: [] };
  }
  const refused = refuseRequest(after, work, describeRefusal(state, verdict));
  // The claim may have been stored even though no answer arrived.
  return verdict === "unavailable"
    ? chainStep(refused, (current) =>
        releaseClaim(current, { claimKey: waiting.claimKey, token }),
      )
    : refused;
}

function describeRefusal(
  { self }: InstanceState,
  verdict: "taken" | "unavailable",
): Refusal {
  const isTaken = verdict === "taken";
  return {
    fault: {
      code: isTaken ? "key_used" : "store_unavailable",
      step: "claim",
      peer: isTaken ? self.instanceId : "platform",
      message: isTaken
        ? "a request with this idempotency key may have run"
        : "the request could not be entered as started",
    },
    run: isTaken ? "may have run" : "not run",
    retryAfterMs: undefined,
  };
}
