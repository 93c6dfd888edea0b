import type { QuotaLimit } from "../quotas/types.ts";
import { countLimitExcess } from "./count_limit_excess.ts";

/**
 * Builds the quota of an upstream's limit. Its burst is at least a request of
 * each sender, so that the static share of one that hears nothing of the others
 * holds one.
 */
export function buildLimitQuota(perSecond: number): QuotaLimit {
  return { ratePerSecond: perSecond, burst: countLimitExcess(perSecond).burst };
}
