import type { Quota, QuotaLimit } from "./types.ts";

const MS_PER_SECOND = 1_000;

/**
 * Refills the bucket. `heardShare` is the part of the instances that is heard
 * of, this one included: each silent one may be spending its static part, so
 * neither rate nor burst of that part is touched here.
 */
export function refillQuota(
  quota: Quota,
  limit: QuotaLimit,
  heardShare: number,
  nowMs: number,
): Quota {
  const passedMs = Math.max(0, nowMs - quota.atMs);
  const gained = (limit.ratePerSecond * heardShare * passedMs) / MS_PER_SECOND;
  const cap = limit.burst * heardShare;
  return {
    ...quota,
    tokens: Math.min(cap, quota.tokens + gained),
    atMs: nowMs,
  };
}
