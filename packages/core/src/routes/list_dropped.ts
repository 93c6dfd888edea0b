import { missingNames } from "./missing_names.ts";
import type { RouteTable } from "./types.ts";

/** Lists the names of the keys and routes that a newer table has no more. */
export function listDropped(
  before: RouteTable | undefined,
  after: RouteTable,
): readonly string[] {
  if (before === undefined) {
    return [];
  }
  const kept = new Set(listNames(after));
  return listNames(before).filter((name) => !kept.has(name));
}

function listNames({ config, customersByKey }: RouteTable): readonly string[] {
  const { buildKeyName, buildRouteName } = missingNames;
  return [
    ...[...customersByKey.keys()].map(buildKeyName),
    ...config.routes.map(({ host, prefix }) => buildRouteName(host, prefix)),
  ];
}
