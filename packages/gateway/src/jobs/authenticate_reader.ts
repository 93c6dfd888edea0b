import {
  assertNever,
  authenticateCaller,
  type RouteTable,
} from "@gooseberryline/core";

/**
 * Returns the customer whose jobs a key may read: "" where no key is asked for,
 * undefined for a missing or unknown key.
 */
export function authenticateReader(
  table: RouteTable,
  key: string | undefined,
): string | undefined {
  const caller = authenticateCaller(table, undefined, key);
  switch (caller.kind) {
    case "customer":
      return caller.customer.name;
    case "anyone":
      return "";
    case "unknown":
      return undefined;
    default:
      return assertNever(caller);
  }
}
