import type { LogLine, ParsedLog } from "./types.ts";

/**
 * Parses log lines. Ignores any prefix that a log collector adds before the
 * JSON, and counts lines that are not from an instance.
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
    return convertLine(value as Readonly<Record<string, unknown>>);
  } catch {
    // The line is from another program; the caller counts it as skipped.
    return undefined;
  }
}

function convertLine(
  value: Readonly<Record<string, unknown>>,
): LogLine | undefined {
  const { event, at, instance, level: _, ...fields } = value;
  const atMs = typeof at === "string" ? Date.parse(at) : Number.NaN;
  if (typeof event !== "string" || Number.isNaN(atMs)) {
    return undefined;
  }
  return { event, at: String(at), atMs, instance: String(instance), fields };
}
