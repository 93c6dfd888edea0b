import type { RouteTable } from "@gooseberryline/core";

/** Finds the customer whose jobs a key may see; "" where no key is asked. */
export function authenticateReader(
  table: RouteTable,
  key: string | undefined,
): string | undefined {
  if (table.customers.size === 0) {
    return "";
  }
  return key === undefined ? undefined : table.customersByKey.get(key)?.name;
}
