import type { InstanceState } from "../instance/types.ts";
import { isConfirmedByMajority } from "./is_confirmed_by_majority.ts";
import { MEMBERSHIP_TIMES } from "./membership_times.ts";

/**
 * Returns whether this instance may use its base shares: the platform, or a
 * majority of its data centre, has confirmed its incarnation within `FENCE_MS`.
 */
export function canUseShares(state: InstanceState, nowMs: number): boolean {
  const { verifiedMs, resumedMs, incarnationStatus: status } = state.membership;
  const sinceMs = Math.max(nowMs - MEMBERSHIP_TIMES.FENCE_MS, resumedMs);
  const isVerified = status === "current" && verifiedMs >= sinceMs;
  return isVerified || isConfirmedByMajority(state, nowMs);
}
