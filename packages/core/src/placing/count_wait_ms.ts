import { PLACING } from "./constants.ts";
import type { OpenWork, UpstreamEntry } from "./types.ts";

/**
 * Expected wait of one more request in an upstream's queue, in ms: none where
 * a slot is free, little where a batch item makes room; with all slots taken
 * by online work, one is freed every `meanServiceMs / slots`.
 */
export function countWaitMs(
  { slots }: UpstreamEntry,
  { online, batch }: OpenWork,
  meanServiceMs: number,
): number {
  const queued = online + 1 - slots;
  if (queued > 0) {
    return (queued * meanServiceMs) / Math.max(1, slots);
  }
  return online + batch < slots ? 0 : PLACING.YIELD_MS;
}
