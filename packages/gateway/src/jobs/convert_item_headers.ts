import type { BatchItem } from "@gooseberryline/core";

/** Returns an item's headers with their names in lower case, each name once. */
export function convertItemHeaders({
  headers,
}: BatchItem): Record<string, string> {
  return Object.fromEntries(
    Object.entries(headers).map(([name, value]) => [name.toLowerCase(), value]),
  );
}
