import type { EventLog } from "@gooseberryline/core";

const silent = (): undefined => undefined;

/** A log that nobody reads, for tests. */
export const SILENT_LOG: EventLog = {
  info: silent,
  warn: silent,
  error: silent,
};
