import type { Caller, Route, RouteTable } from "./types.ts";

/**
 * Identifies the caller by its API key. `route` is undefined for calls about jobs,
 * which are never public.
 */
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
  const isOpen =
    route?.isPublic === true || table.config.access.kind === "open";
  return { kind: isOpen ? "anyone" : "unknown" };
}
