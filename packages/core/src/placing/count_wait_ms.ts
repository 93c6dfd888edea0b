import type { OpenWork, UpstreamEntry } from "./types.ts";

/**
 * Expected wait of one more request in an upstream's queue, in ms: with all
 * slots taken, one is freed every `meanServiceMs / slots`.
 */
export function countWaitMs(
  entry: UpstreamEntry,
  open: OpenWork,
  meanServiceMs: number,
): number {
  const queued = open.online + open.batch + 1 - entry.slots;
  return queued <= 0 ? 0 : (queued * meanServiceMs) / Math.max(1, entry.slots);
}
