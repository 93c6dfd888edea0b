import type { Quota, QuotaLimit } from "./types.ts";

const MS_PER_SECOND = 1_000;

/**
 * Refills the bucket. `reachableShare` is the fraction of instances that this
 * one receives messages from, itself included. A silent instance may be
 * spending its static share, so neither the rate nor the burst of that share is
 * used here.
 */
export function refillQuota(
  quota: Quota,
  limit: QuotaLimit,
  reachableShare: number,
  nowMs: number,
): Quota {
  const elapsedMs = Math.max(0, nowMs - quota.atMs);
  const gained =
    (limit.ratePerSecond * reachableShare * elapsedMs) / MS_PER_SECOND;
  const cap = limit.burst * reachableShare;
  return {
    ...quota,
    tokens: Math.min(cap, quota.tokens + gained),
    atMs: nowMs,
  };
}
