import type { InstanceState, Step } from "../instance/types.ts";
import { requestPlatformCall } from "../platform/request_platform_call.ts";
import { isConfirmedByMajority } from "./is_confirmed_by_majority.ts";
import { MEMBERSHIP_TIMES } from "./membership_times.ts";

/**
 * Asks the platform for this instance's own record when due: to be named in
 * it at the start, and later to see that no other incarnation has taken the
 * name. Rarely while the peers confirm it.
 */
export function requestOwnRecord(state: InstanceState, nowMs: number): Step {
  const { membership, self } = state;
  const isDue = nowMs >= membership.nextProofMs;
  if (!isDue || membership.isAsking || membership.standing === "superseded") {
    return { state, effects: [] };
  }
  const { PROOF_MS, SLOW_PROOF_MS } = MEMBERSHIP_TIMES;
  const gapMs = isConfirmedByMajority(state, nowMs) ? SLOW_PROOF_MS : PROOF_MS;
  const asked: InstanceState = {
    ...state,
    membership: { ...membership, isAsking: true, nextProofMs: nowMs + gapMs },
  };
  const key = `instances/${self.instanceId}`;
  return requestPlatformCall(
    asked,
    { kind: "get", key },
    {
      purpose: { feature: "membership", what: "own", id: self.instanceId },
      nowMs,
    },
  );
}
