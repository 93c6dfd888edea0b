/** Types of the gateway's log, which has one JSON line per event. */
import type { LOG_EVENTS } from "./log_events.ts";

export type LogValue = string | number | boolean | null | undefined;

/** Name of an event in the catalogue of log events. */
export type LogEvent = keyof typeof LOG_EVENTS;

/** Optional fields of an event's log lines, as listed in the catalogue. */
export type LogEventFields<Event extends LogEvent> = {
  readonly [Name in (typeof LOG_EVENTS)[Event]["fields"][number]]?: LogValue;
};

type WriteLine = <Event extends LogEvent>(
  event: Event,
  fields?: LogEventFields<Event>,
) => void;

/** Logger that accepts only the events of the catalogue. */
export type EventLog = {
  readonly info: WriteLine;
  readonly warn: WriteLine;
  readonly error: WriteLine;
};
