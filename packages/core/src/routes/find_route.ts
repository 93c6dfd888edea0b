import type { Route, RouteTable } from "./types.ts";

/** Finds the host's route with the longest prefix that matches the path. */
export function findRoute(
  table: RouteTable,
  host: string,
  path: string,
): Route | undefined {
  const name = host.toLowerCase().replace(/:\d+$/, "");
  return table.routesByHost
    .get(name)
    ?.find(({ prefix }) => path.startsWith(prefix));
}
