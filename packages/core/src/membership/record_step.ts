import type { InstanceState } from "../instance/types.ts";
import { MEMBERSHIP_TIMES } from "./membership_times.ts";

/** Notes a step; after a gap, earlier contact counts no more. */
export function recordStep(state: InstanceState, nowMs: number): InstanceState {
  const { membership } = state;
  const { steppedMs } = membership;
  const hasGap = steppedMs > 0 && nowMs - steppedMs > MEMBERSHIP_TIMES.PAUSE_MS;
  if (!hasGap && nowMs === steppedMs) {
    return state;
  }
  const resumedMs = hasGap ? nowMs : membership.resumedMs;
  const nextProofMs = hasGap ? nowMs : membership.nextProofMs;
  return {
    ...state,
    membership: { ...membership, steppedMs: nowMs, resumedMs, nextProofMs },
  };
}
