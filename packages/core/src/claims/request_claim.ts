import type { InstanceState, Step } from "../instance/types.ts";
import { setEntry } from "../shared/set_entry.ts";
import { chooseHomeInstance } from "./choose_home_instance.ts";
import { CLAIMS } from "./constants.ts";
import { offerClaim } from "./offer_claim.ts";

/** Asks the home of a waiting request's key, or the next one after it. */
export function requestClaim(
  state: InstanceState,
  workId: string,
  nowMs: number,
): Step {
  const wait = state.claims.waits[workId];
  if (wait === undefined) {
    return { state, effects: [] };
  }
  const { claimKey, tries } = wait;
  const retryMs = nowMs + CLAIMS.RETRY_MS;
  const asked = { ...wait, tries: tries + 1, retryMs };
  const waits = setEntry(state.claims.waits, workId, asked);
  const after = { ...state, claims: { ...state.claims, waits } };
  const home = chooseHomeInstance(state, { claimKey, tries }, nowMs);
  const { instanceId } = state.self;
  return home === instanceId
    ? offerClaim(
        after,
        { claimKey, token: workId, from: home, isRelease: false },
        nowMs,
      )
    : {
        state: after,
        effects: [
          {
            kind: "send-peer",
            to: home,
            message: { kind: "claim-asked", claimKey, token: workId },
          },
        ],
      };
}
