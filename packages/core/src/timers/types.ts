/** Timers at which the instance checks a deadline or limit. */
import type { AttemptId, WorkId } from "../ids/types.ts";

/** Timers that are due within the same `TIMER_GROUP_MS`. */
export type TimerGroup = {
  readonly group: number;
  readonly timers: readonly Timer[];
};

/** A timer; ignored if its work or attempt no longer exists when it is due. */
export type Timer =
  | {
      readonly kind: "deadline";
      readonly dueMs: number;
      readonly workId: WorkId;
    }
  | {
      readonly kind: "first-token" | "run-limit";
      readonly dueMs: number;
      readonly attemptId: AttemptId;
    };
