import type { EventLog } from "@gooseberryline/core";

const dropEntry = (): undefined => undefined;

/** An event log that drops all entries, for tests. */
export const SILENT_LOG: EventLog = {
  info: dropEntry,
  warn: dropEntry,
  error: dropEntry,
};
