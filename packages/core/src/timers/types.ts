/** Moments at which the instance has to look at something again. */
import type { AttemptId, WorkId } from "../ids/types.ts";

/** What is due; one whose subject is gone is ignored. */
export type Timer =
  | {
      readonly kind: "deadline";
      readonly dueMs: number;
      readonly workId: WorkId;
    }
  | {
      readonly kind: "first-token";
      readonly dueMs: number;
      readonly attemptId: AttemptId;
    };
