import { QUOTAS } from "./constants.ts";
import type { Demand } from "./types.ts";

const MS_PER_SECOND = 1_000;

/**
 * Adds requests to a moving average of how many come a second, `count` of them at
 * a time; with 0 it only ages.
 */
export function recordDemand(
  { perSecond, atMs }: Demand,
  nowMs: number,
  count = 1,
): Demand {
  const elapsedMs = Math.max(0, nowMs - atMs);
  const left = perSecond * Math.exp(-elapsedMs / QUOTAS.DEMAND_MS);
  const added = (count * MS_PER_SECOND) / QUOTAS.DEMAND_MS;
  return { perSecond: left + added, atMs: nowMs };
}
