import type { EventLog, LogEvent } from "@gooseberryline/core";

/** Events that tell of a fault of the program itself. */
const FAULTS: readonly LogEvent[] = [
  "uncaught",
  "step-failed",
  "item-not-started",
];

/** Counts the faults of the program that its log tells of. */
export class FaultCounter {
  /** Writes to the log that was given. */
  readonly log: EventLog;
  #count = 0;

  constructor(log: EventLog) {
    const error: EventLog["error"] = (event, fields) => {
      this.#count += FAULTS.includes(event) ? 1 : 0;
      log.error(event, fields);
    };
    this.log = { ...log, error };
  }

  get count(): number {
    return this.#count;
  }
}
