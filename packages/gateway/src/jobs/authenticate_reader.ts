import type { RouteTable } from "@gooseberryline/core";

/**
 * Returns the customer whose jobs a key may read: "" where no customers are
 * configured, undefined for a missing or unknown key.
 */
export function authenticateReader(
  table: RouteTable,
  key: string | undefined,
): string | undefined {
  if (table.customers.size === 0) {
    return "";
  }
  return key === undefined ? undefined : table.customersByKey.get(key)?.name;
}
