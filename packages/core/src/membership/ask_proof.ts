import type { InstanceState, Step } from "../instance/types.ts";
import { askPlatform } from "../platform/ask_platform.ts";
import { isInTouch } from "./is_in_touch.ts";
import { MEMBERSHIP_TIMES } from "./membership_times.ts";

/**
 * Asks the platform for this instance's own record when due: to be named in
 * it at the start, and later to see that no other incarnation has taken the
 * name. Rarely while the peers confirm it.
 */
export function askProof(state: InstanceState, nowMs: number): Step {
  const { membership, self } = state;
  const isDue = nowMs >= membership.nextProofMs;
  if (!isDue || membership.isAsking || membership.standing === "superseded") {
    return { state, effects: [] };
  }
  const { PROOF_MS, SLOW_PROOF_MS } = MEMBERSHIP_TIMES;
  const gapMs = isInTouch(state, nowMs) ? SLOW_PROOF_MS : PROOF_MS;
  const asked: InstanceState = {
    ...state,
    membership: { ...membership, isAsking: true, nextProofMs: nowMs + gapMs },
  };
  const key = `instances/${self.instanceId}`;
  return askPlatform(
    asked,
    { kind: "get", key },
    {
      purpose: { feature: "membership", what: "own", id: self.instanceId },
      nowMs,
    },
  );
}
