import { QUEUE_BOUNDS } from "./constants.ts";
import type { ArrivalRate } from "./types.ts";

/** Returns the recent arrival rate at `nowMs`, in requests per second. */
export function computeArrivalRate(
  rate: ArrivalRate | undefined,
  nowMs: number,
): number {
  if (rate === undefined) {
    return 0;
  }
  const ageMs = Math.max(0, nowMs - rate.atMs);
  return rate.perSecond * Math.exp(-ageMs / QUEUE_BOUNDS.ARRIVAL_DECAY_MS);
}
