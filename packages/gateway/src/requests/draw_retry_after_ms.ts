import { REQUESTS } from "./constants.ts";

/**
 * Draws the delay after which a refused caller may retry: at least the time
 * until capacity is expected, plus up to as much random jitter, so that callers
 * do not return together.
 */
export function drawRetryAfterMs(
  availableInMs: number,
  random: number,
): number {
  const jitteredMs = availableInMs * (1 + random);
  return Math.min(
    REQUESTS.MAX_RETRY_AFTER_MS,
    Math.max(REQUESTS.MIN_RETRY_AFTER_MS, Math.ceil(jitteredMs)),
  );
}
