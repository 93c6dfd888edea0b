import { WATCH_TIMING } from "./constants.ts";

/** Computes how long a watch waits after failures in a row, in ms. */
export function computeRetryDelayMs(failures: number): number {
  const backoffMs = WATCH_TIMING.MIN_RETRY_DELAY_MS * 2 ** (failures - 1);
  const delayMs = Math.min(WATCH_TIMING.MAX_RETRY_DELAY_MS, backoffMs);
  // Jitter keeps instances from reconnecting to a recovering store at once.
  return delayMs * (0.5 + Math.random());
}
