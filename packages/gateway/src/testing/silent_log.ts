import type { EventLog } from "@gooseberryline/core";

const dropEntry = (): undefined => undefined;

/** A log that nobody reads, for tests. */
export const SILENT_LOG: EventLog = {
  info: dropEntry,
  warn: dropEntry,
  error: dropEntry,
};
