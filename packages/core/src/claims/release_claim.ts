import { chainAll } from "../instance/chain_all.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { chooseHomeInstance } from "./choose_home_instance.ts";
import { enqueueClaim } from "./enqueue_claim.ts";

/**
 * Takes back the claim of a request that surely did not run, so that the
 * same key may be sent again. An own group is written at the next step; a lost
 * message leaves the key claimed.
 */
export function releaseClaim(
  state: InstanceState,
  { claimKey, token }: { readonly claimKey: string; readonly token: string },
): Step {
  const nowMs = state.jobs.tickMs;
  const homes = [0, 1].map((tries) =>
    chooseHomeInstance(state, { claimKey, tries }, nowMs),
  );
  return chainAll(state, [...new Set(homes)], (at, home) => {
    const claim = { claimKey, token, from: home, isRelease: true };
    const message = { kind: "claim-dropped", claimKey, token } as const;
    return home === at.self.instanceId
      ? { state: enqueueClaim(at, claim, nowMs), effects: [] }
      : { state: at, effects: [{ kind: "send-peer", to: home, message }] };
  });
}
