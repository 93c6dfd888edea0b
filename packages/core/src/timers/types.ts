/** Moments at which the instance has to look at something again. */
import type { AttemptId, WorkId } from "../ids/types.ts";

/** Timers that are due within the same `TIMER_GROUP_MS`. */
export type TimerGroup = {
  readonly group: number;
  readonly timers: readonly Timer[];
};

/** What is due; one whose subject is gone is ignored. */
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
