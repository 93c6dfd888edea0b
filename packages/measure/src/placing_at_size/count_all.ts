import type { PlacingCounts } from "./types.ts";

/** Adds up a count over several simulated fleets. */
export function countAll(
  fleets: readonly PlacingCounts[],
  name: keyof PlacingCounts,
): number {
  return fleets.reduce((total, counts) => total + counts[name], 0);
}
