import { chainAll } from "../instance/chain_all.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { assertNever } from "../shared/assert_never.ts";
import { takeDueTimers } from "../timers/take_due_timers.ts";
import type { Timer } from "../timers/types.ts";
import { cancelWork } from "./cancel_work.ts";

/** Ends what is due: work past its deadline, attempts that stay silent. */
export function expireWork(state: InstanceState, nowMs: number): Step {
  const { state: rest, due } = takeDueTimers(state, nowMs);
  return chainAll(rest, due, expireTimer);
}

function expireTimer(state: InstanceState, timer: Timer): Step {
  switch (timer.kind) {
    case "deadline":
      return cancelWork(state, timer.workId, "deadline_exceeded");
    case "first-token":
      return { state, effects: [] };
    default:
      return assertNever(timer);
  }
}
