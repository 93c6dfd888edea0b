import type { Caller, Route, RouteTable } from "./types.ts";

/** Identifies the caller by the API key of a request for `route`. */
export function authenticateCaller(
  table: RouteTable,
  route: Route | undefined,
  key: string | undefined,
): Caller {
  const customer =
    key === undefined ? undefined : table.customersByKey.get(key);
  if (customer !== undefined) {
    return { kind: "customer", customer };
  }
  // A configuration without customers requires no key.
  const isOpen = route?.isPublic === true || table.customers.size === 0;
  return { kind: isOpen ? "anyone" : "unknown" };
}
