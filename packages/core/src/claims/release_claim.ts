import { chainAll } from "../instance/chain_all.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { chooseGroupOwner } from "./choose_group_owner.ts";
import { enqueueClaim } from "./enqueue_claim.ts";

/**
 * Releases the claim of a request that did not run, so that its key can be
 * used again. Releases of a group that this instance owns are written at the
 * next tick. If the message to another owner is lost, the key stays claimed.
 */
export function releaseClaim(
  state: InstanceState,
  { claimKey, token }: { readonly claimKey: string; readonly token: string },
): Step {
  const nowMs = state.jobs.lastTickAtMs;
  const owners = [0, 1].map((retryCount) =>
    chooseGroupOwner(state, { claimKey, retryCount }, nowMs),
  );
  return chainAll(state, [...new Set(owners)], (current, owner) => {
    const claim = { claimKey, token, from: owner, isRelease: true };
    const message = { kind: "claim-dropped", claimKey, token } as const;
    return owner === current.self.instanceId
      ? { state: enqueueClaim(current, claim, nowMs), effects: [] }
      : {
          state: current,
          effects: [{ kind: "send-peer", to: owner, message }],
        };
  });
}
