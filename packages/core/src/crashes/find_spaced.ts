import { CRASHES } from "./constants.ts";
import type { Crash } from "./types.ts";

/**
 * Finds crashes that lie apart, in order of time, so that what upstreams that end
 * together have in common counts once.
 */
export function findSpaced(crashes: readonly Crash[]): readonly Crash[] {
  const spaced: Crash[] = [];
  [...crashes]
    .sort((a, b) => a.atMs - b.atMs)
    .forEach((crash) => {
      const lastMs = spaced.at(-1)?.atMs ?? Number.NEGATIVE_INFINITY;
      if (crash.atMs - lastMs >= CRASHES.OBJECTION_MS) {
        spaced.push(crash);
      }
    });
  return spaced;
}
