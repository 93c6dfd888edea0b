import type { InstanceState } from "../instance/types.ts";
import { MEMBERSHIP_TIMES } from "./membership_times.ts";

/**
 * Records the time of a step. After a gap longer than `MAX_STEP_GAP_MS`,
 * earlier confirmations no longer count and this instance's record is read at
 * once.
 */
export function recordStep(state: InstanceState, nowMs: number): InstanceState {
  const { membership } = state;
  const { lastStepMs } = membership;
  const hasGap =
    lastStepMs > 0 && nowMs - lastStepMs > MEMBERSHIP_TIMES.MAX_STEP_GAP_MS;
  if (!hasGap && nowMs === lastStepMs) {
    return state;
  }
  const resumedMs = hasGap ? nowMs : membership.resumedMs;
  const nextVerifyMs = hasGap ? nowMs : membership.nextVerifyMs;
  return {
    ...state,
    membership: { ...membership, lastStepMs: nowMs, resumedMs, nextVerifyMs },
  };
}
