import type { Overload } from "./types.ts";

/**
 * Estimates how long an overload goes on, in ms: as long as they usually do, and if
 * it has lasted longer already or is the first, as long as it has lasted.
 */
export function estimateOverloadMs(
  { sinceMs, usualMs = 0 }: Overload,
  nowMs: number,
): number {
  const lastedMs = nowMs - sinceMs;
  return usualMs > lastedMs ? usualMs - lastedMs : lastedMs;
}
