import type { InstanceState, Step } from "../instance/types.ts";
import { settleClaim } from "./settle_claim.ts";
import type { ClaimVerdict, PendingClaim } from "./types.ts";

/** Sends the verdict on a claim to the instance that requested it. */
export function answerClaim(
  state: InstanceState,
  { from, token }: PendingClaim,
  verdict: ClaimVerdict,
): Step {
  if (from === state.self.instanceId) {
    return settleClaim(state, { token, verdict });
  }
  const message = { kind: "claim-answered", token, verdict } as const;
  return { state, effects: [{ kind: "send-peer", to: from, message }] };
}
