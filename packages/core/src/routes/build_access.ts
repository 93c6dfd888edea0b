import type { CallerAccess, RouteCustomer } from "./types.ts";

/**
 * Says who may call by the customers that a configuration names; undefined if it
 * says nothing of customers, which is not the same as that there is none.
 */
export function buildAccess(
  customers: readonly RouteCustomer[] | undefined,
): CallerAccess {
  return customers === undefined
    ? { kind: "open" }
    : { kind: "customers", customers };
}
