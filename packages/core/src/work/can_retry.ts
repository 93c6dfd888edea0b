import type { InstanceState } from "../instance/types.ts";
import { canMeetDeadline } from "./can_meet_deadline.ts";
import { RETRY_BOUNDS } from "./constants.ts";
import type { Work } from "./types.ts";

/**
 * Returns whether the attempt limit, the retry budget and the deadline allow
 * another attempt.
 */
export function canRetry(
  state: InstanceState,
  work: Work,
  nowMs: number,
): boolean {
  return (
    work.attemptCount < RETRY_BOUNDS.MAX_ATTEMPTS &&
    state.retryBudget >= 1 &&
    canMeetDeadline(state, work, nowMs)
  );
}
