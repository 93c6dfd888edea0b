import { refillQuota } from "./refill_quota.ts";
import type { Quota, QuotaLimit } from "./types.ts";

/** The bucket after a request asked for a token, and when to come back. */
export type QuotaTaken =
  | { readonly kind: "taken"; readonly quota: Quota }
  | {
      readonly kind: "over";
      readonly quota: Quota;
      /** When the bucket holds a token again if nobody else takes it, ms. */
      readonly freeInMs: number;
    };

const MS_PER_SECOND = 1_000;

/** Takes one token for a request, or says that the customer is over its rate. */
export function takeQuota(
  quota: Quota,
  limit: QuotaLimit,
  heardShare: number,
  nowMs: number,
): QuotaTaken {
  if (limit.ratePerSecond <= 0) {
    return { kind: "taken", quota };
  }
  const filled = refillQuota(quota, limit, heardShare, nowMs);
  if (filled.tokens < 1) {
    const rate = limit.ratePerSecond * heardShare;
    const freeInMs = ((1 - filled.tokens) / rate) * MS_PER_SECOND;
    return { kind: "over", quota: filled, freeInMs };
  }
  return {
    kind: "taken",
    quota: {
      ...filled,
      tokens: filled.tokens - 1,
      admitted: filled.admitted + 1,
    },
  };
}
