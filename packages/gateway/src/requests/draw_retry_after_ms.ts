import { REQUESTS } from "./constants.ts";

/**
 * Draws when a refused caller may come back: once there should be room, and
 * spread over as long again, so that callers do not return together.
 */
export function drawRetryAfterMs(freeInMs: number, random: number): number {
  const spreadMs = freeInMs * (1 + random);
  return Math.min(
    REQUESTS.MAX_RETRY_AFTER_MS,
    Math.max(REQUESTS.MIN_RETRY_AFTER_MS, Math.ceil(spreadMs)),
  );
}
