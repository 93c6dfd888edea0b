import { createConsola, LogLevels } from "consola";

/** Fields of a log line; they must never contain a tenant key or a body. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | null | undefined>
>;

/** Writes one JSON log line per event. */
export type Log = {
  readonly info: (event: string, fields?: LogFields) => void;
  readonly warn: (event: string, fields?: LogFields) => void;
  readonly error: (event: string, fields?: LogFields) => void;
};

/**
 * Creates a log that writes JSON lines and adds the fields of `base` to each.
 */
export function createLog(base: LogFields, write: (line: string) => void): Log {
  const consola = createConsola({
    level: LogLevels.info,
    reporters: [
      {
        log: ({ type, args, date }) => {
          const [event, fields] = args as [string, LogFields | undefined];
          const line = { event, level: type, at: date, ...base, ...fields };
          write(`${JSON.stringify(line)}\n`);
        },
      },
    ],
  });
  return {
    info: (event, fields) => consola.info(event, fields),
    warn: (event, fields) => consola.warn(event, fields),
    error: (event, fields) => consola.error(event, fields),
  };
}
