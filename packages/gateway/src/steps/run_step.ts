import type { EventLog } from "@gooseberryline/core";
import { logFailedStep } from "./log_failed_step.ts";
import type { Step } from "./types.ts";

/**
 * Runs one step of a task that goes on whatever becomes of the step: what it throws
 * is logged. Returns undefined then.
 */
export function runStep<Value>(
  log: Pick<EventLog, "error">,
  about: Step,
  run: () => Value,
): Value | undefined {
  try {
    return run();
  } catch (error) {
    logFailedStep(log, about, error);
    return undefined;
  }
}
