import { WATCH_TIMING } from "./constants.ts";
import type { WatchRank } from "./types.ts";

/**
 * Computes how long a watch waits, in ms. Ends are staggered by rank on the
 * wall clock, so that some watch of the fleet ends every `STAGGER_MS` even if
 * the same change started all of them.
 */
export function computeWatchWaitMs(
  { rank, count }: WatchRank,
  unixMs: number,
): number {
  const positions = Math.max(count, WATCH_TIMING.MIN_STAGGER_POSITIONS);
  const periodMs = positions * WATCH_TIMING.STAGGER_MS;
  const offsetMs = (rank % positions) * WATCH_TIMING.STAGGER_MS;
  const leftMs = (offsetMs - (unixMs % periodMs) + periodMs) % periodMs;
  return Math.min(
    WATCH_TIMING.MAX_WAIT_MS,
    Math.max(WATCH_TIMING.MIN_WAIT_MS, leftMs),
  );
}
