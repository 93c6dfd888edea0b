import type { EventLog } from "@gooseberryline/core";
import { describeError } from "../describe_error.ts";
import type { Step } from "./types.ts";

/** Logs what ended one step of a task. */
export function logFailedStep(
  log: Pick<EventLog, "error">,
  { step, key }: Step,
  error: unknown,
): void {
  log.error("step-failed", { step, key, reason: describeError(error) });
}
