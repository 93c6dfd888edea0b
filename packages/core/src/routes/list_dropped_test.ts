import { expect, test } from "vitest";
import { buildRouteTable } from "./build_route_table.ts";
import { listDropped } from "./list_dropped.ts";
import { missingNames } from "./missing_names.ts";
import type { Route } from "./types.ts";

function buildTable(keys: readonly string[], prefixes: readonly string[]) {
  const limits = {
    headerBytes: 1,
    bodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  };
  const customer = { name: "c", keys, ratePerSecond: 0, burst: 0 };
  const routes = prefixes.map((prefix) => ({ host: "H", prefix }) as Route);
  const config = { revision: 1, services: [], limits, routes };
  return buildRouteTable({
    ...config,
    access: { kind: "customers", customers: [customer] },
  });
}

test("what a newer table has no more is named as a call that asks for it", () => {
  const before = buildTable(["a", "b"], ["/x/", "/y/1/", "/y/2/"]);
  const after = buildTable(["b", "c"], ["/y/2/"]);
  expect(listDropped(undefined, after)).toEqual([]);
  expect(listDropped(before, after)).toEqual([
    missingNames.buildKeyName("a"),
    missingNames.buildRouteName("h", "/x/call?a=/b"),
  ]);
});
