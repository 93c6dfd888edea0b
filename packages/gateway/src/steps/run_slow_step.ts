import type { EventLog } from "@gooseberryline/core";
import { logFailedStep } from "./log_failed_step.ts";
import type { Step } from "./types.ts";

/** Does the same as `runStep` for a step that waits; never rejects. */
export async function runSlowStep<Value>(
  log: Pick<EventLog, "error">,
  about: Step,
  run: () => Promise<Value>,
): Promise<Value | undefined> {
  try {
    return await run();
  } catch (error) {
    logFailedStep(log, about, error);
    return undefined;
  }
}
