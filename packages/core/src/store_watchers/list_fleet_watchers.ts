import type { FleetMember } from "../fleet/types.ts";
import { rankWatchers } from "./rank_watchers.ts";

/** Lists the ids of all data centres' watchers, in the same order everywhere. */
export function listFleetWatchers(
  members: readonly FleetMember[],
  count: number,
): readonly string[] {
  const dataCentres = new Set(members.map(({ dataCentre }) => dataCentre));
  return [...dataCentres]
    .flatMap((name) =>
      rankWatchers(
        members.filter(({ dataCentre }) => dataCentre === name),
        count,
      ),
    )
    .map(({ id }) => id)
    .sort();
}
