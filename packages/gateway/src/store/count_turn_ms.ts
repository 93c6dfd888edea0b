import { WATCHING } from "./constants.ts";
import type { WatchTurn } from "./types.ts";

/**
 * Time until the turn of a watch to end, in ms. Turns follow the time of day,
 * one watcher after the other, so that some watch of the fleet ends each
 * `FLEET_WAIT_MS` even where all were started by the same change.
 */
export function countTurnMs(
  { rank, count }: WatchTurn,
  unixMs: number,
): number {
  const turns = Math.max(count, WATCHING.MIN_TURNS);
  const periodMs = turns * WATCHING.FLEET_WAIT_MS;
  const turnMs = (rank % turns) * WATCHING.FLEET_WAIT_MS;
  const leftMs = (turnMs - (unixMs % periodMs) + periodMs) % periodMs;
  return Math.min(WATCHING.MAX_WAIT_MS, Math.max(WATCHING.MIN_WAIT_MS, leftMs));
}
