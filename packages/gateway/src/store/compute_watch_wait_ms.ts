import { WATCH_TIMING } from "./constants.ts";
import type { WatchRank } from "./types.ts";

/**
 * Time until the turn of a watch to end, in ms. Turns follow the time of day,
 * one watcher after the other, so that some watch of the fleet ends each
 * `FLEET_WAIT_MS` even where all were started by the same change.
 */
export function computeWatchWaitMs(
  { rank, count }: WatchRank,
  unixMs: number,
): number {
  const turns = Math.max(count, WATCH_TIMING.MIN_STAGGER_POSITIONS);
  const periodMs = turns * WATCH_TIMING.STAGGER_MS;
  const turnMs = (rank % turns) * WATCH_TIMING.STAGGER_MS;
  const leftMs = (turnMs - (unixMs % periodMs) + periodMs) % periodMs;
  return Math.min(
    WATCH_TIMING.MAX_WAIT_MS,
    Math.max(WATCH_TIMING.MIN_WAIT_MS, leftMs),
  );
}
