import { groupBy } from "../shared/group_by.ts";
import type {
  CallerAccess,
  RouteCustomer,
  RouteTable,
  ServingConfig,
} from "./types.ts";

/** Indexes a configuration for lookups on the request path. */
export function buildRouteTable(config: ServingConfig): RouteTable {
  const longestFirst = [...config.routes].sort(
    (a, b) => b.prefix.length - a.prefix.length,
  );
  const customers = listCustomers(config.access);
  const customersByKey = new Map(
    customers.flatMap((customer) =>
      customer.keys.map((key) => [key, customer] as const),
    ),
  );
  return {
    config,
    routesByHost: groupBy(longestFirst, ({ host }) => host.toLowerCase()),
    customersByKey,
    customers: new Map(customers.map((entry) => [entry.name, entry])),
    services: new Map(config.services.map((entry) => [entry.name, entry])),
  };
}

function listCustomers(access: CallerAccess): readonly RouteCustomer[] {
  return access.kind === "open" ? [] : access.customers;
}
