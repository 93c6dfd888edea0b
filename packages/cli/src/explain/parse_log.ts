import type { LogLine, ParsedLog } from "./types.ts";

/**
 * Parses the lines of logs. What a collector puts before a line's JSON is
 * passed over; lines that are none of an instance are counted.
 */
export function parseLog(text: string): ParsedLog {
  const rows = text.split("\n").filter((row) => row.trim() !== "");
  const lines = rows
    .map((row) => parseLine(row))
    .filter((line) => line !== undefined);
  return { lines, skipped: rows.length - lines.length };
}

function parseLine(row: string): LogLine | undefined {
  const start = row.indexOf("{");
  if (start === -1) {
    return undefined;
  }
  try {
    const value: unknown = JSON.parse(row.slice(start));
    return describeLine(value as Readonly<Record<string, unknown>>);
  } catch {
    // Another program's line; the caller counts it.
    return undefined;
  }
}

function describeLine(
  value: Readonly<Record<string, unknown>>,
): LogLine | undefined {
  const { event, at, instance, level: _, ...fields } = value;
  const atMs = typeof at === "string" ? Date.parse(at) : Number.NaN;
  if (typeof event !== "string" || Number.isNaN(atMs)) {
    return undefined;
  }
  return { event, at: String(at), atMs, instance: String(instance), fields };
}
