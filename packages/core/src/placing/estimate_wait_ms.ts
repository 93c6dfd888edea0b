import { PLACING } from "./constants.ts";
import type { InFlightWork, UpstreamEntry } from "./types.ts";

/**
 * Estimates how long one more request would wait in an upstream's queue, in ms.
 * The wait is 0 with a free slot and `YIELD_MS` if a batch item yields its
 * slot; with all slots in use by online requests, one becomes free every
 * `meanServiceMs / slots`.
 */
export function estimateWaitMs(
  { slots }: UpstreamEntry,
  { online, batch }: InFlightWork,
  meanServiceMs: number,
): number {
  const queued = online + 1 - slots;
  if (queued > 0) {
    return (queued * meanServiceMs) / Math.max(1, slots);
  }
  return online + batch < slots ? 0 : PLACING.YIELD_MS;
}
