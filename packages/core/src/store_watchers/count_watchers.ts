import type { FleetMember } from "../fleet/types.ts";
import type { WatcherNumbers } from "./types.ts";

/** Counts the instances of each data centre that watch the store. */
export function countWatchers(
  members: readonly FleetMember[],
  { perDataCentre, atLeast }: WatcherNumbers,
): number {
  const dataCentres = new Set(members.map(({ dataCentre }) => dataCentre));
  return Math.max(
    perDataCentre,
    Math.ceil(atLeast / Math.max(1, dataCentres.size)),
  );
}
