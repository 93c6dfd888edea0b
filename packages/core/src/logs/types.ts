/** The gateway's log: one JSON line an event. */
import type { LOG_EVENTS } from "./log_events.ts";

export type LogValue = string | number | boolean | null | undefined;

/** Name of an event in the catalogue. */
export type LogEvent = keyof typeof LOG_EVENTS;

/** Fields that lines of an event may bear, as the catalogue lists them. */
export type LogEventFields<Event extends LogEvent> = {
  readonly [Name in (typeof LOG_EVENTS)[Event]["fields"][number]]?: LogValue;
};

type WriteLine = <Event extends LogEvent>(
  event: Event,
  fields?: LogEventFields<Event>,
) => void;

/** Writes lines of events of the catalogue only. */
export type EventLog = {
  readonly info: WriteLine;
  readonly warn: WriteLine;
  readonly error: WriteLine;
};
