import type { Caller, Route, RouteTable } from "./types.ts";

/** Finds who calls from the key that came with a request for `route`. */
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
  // Without any customers in the configuration no key is asked for.
  const isOpen = route?.isPublic === true || table.customers.size === 0;
  return { kind: isOpen ? "anyone" : "unknown" };
}
