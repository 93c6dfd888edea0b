import { chainAll } from "../instance/chain_all.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { assertNever } from "../shared/assert_never.ts";
import { takeDueTimers } from "../timers/take_due_timers.ts";
import type { Timer } from "../timers/types.ts";
import { cancelOverdueAttempt } from "./cancel_overdue_attempt.ts";
import { cancelWork } from "./cancel_work.ts";
import { expireAttempt } from "./expire_attempt.ts";

/**
 * Handles all due timers: passed deadlines, first-token timeouts and exceeded
 * run limits.
 */
export function expireWork(state: InstanceState, nowMs: number): Step {
  const { state: remaining, due } = takeDueTimers(state, nowMs);
  return chainAll(remaining, due, (current, timer) =>
    expireTimer(current, timer, nowMs),
  );
}

function expireTimer(state: InstanceState, timer: Timer, nowMs: number): Step {
  switch (timer.kind) {
    case "deadline":
      return cancelWork(state, timer.workId, "deadline_exceeded");
    case "first-token":
      return expireAttempt(state, timer.attemptId, nowMs);
    case "run-limit":
      return cancelOverdueAttempt(state, timer.attemptId, nowMs);
    default:
      return assertNever(timer);
  }
}
