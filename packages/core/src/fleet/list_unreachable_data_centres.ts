import type { FleetMember } from "./types.ts";

/**
 * Lists the data centres with no reachable instance while others have some.
 * They are probably partitioned or without power, as are their upstreams. If no
 * peer is reachable at all, nothing can be concluded and none is listed.
 */
export function listUnreachableDataCentres(
  others: readonly FleetMember[],
  isReachable: (instanceId: string) => boolean,
): ReadonlySet<string> {
  const reachable = others.filter(({ id }) => isReachable(id));
  const reachableDataCentres = new Set(
    reachable.map(({ dataCentre }) => dataCentre),
  );
  const all = others.map(({ dataCentre }) => dataCentre);
  return new Set(
    reachableDataCentres.size === 0
      ? []
      : all.filter((name) => !reachableDataCentres.has(name)),
  );
}
