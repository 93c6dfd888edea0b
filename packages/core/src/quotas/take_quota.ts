import { refillQuota } from "./refill_quota.ts";
import type { Quota, QuotaLimit } from "./types.ts";

/** Updated bucket and whether a token was taken. */
export type TakeQuotaResult =
  | { readonly kind: "taken"; readonly quota: Quota }
  | {
      readonly kind: "over";
      readonly quota: Quota;
      /** Time until a token is free if no other request takes it, in ms. */
      readonly freeInMs: number;
    };

const MS_PER_SECOND = 1_000;

/** Takes one token, or reports that the customer is over its rate. */
export function takeQuota(
  quota: Quota,
  limit: QuotaLimit,
  reachableShare: number,
  nowMs: number,
): TakeQuotaResult {
  if (limit.ratePerSecond <= 0) {
    return { kind: "taken", quota };
  }
  const refilled = refillQuota(quota, limit, reachableShare, nowMs);
  if (refilled.tokens < 1) {
    const rate = limit.ratePerSecond * reachableShare;
    const freeInMs = ((1 - refilled.tokens) / rate) * MS_PER_SECOND;
    return { kind: "over", quota: refilled, freeInMs };
  }
  return {
    kind: "taken",
    quota: {
      ...refilled,
      tokens: refilled.tokens - 1,
      admitted: refilled.admitted + 1,
    },
  };
}
