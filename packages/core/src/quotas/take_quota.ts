import { computeAdmittedPart } from "./compute_admitted_part.ts";
import { refillQuota } from "./refill_quota.ts";
import type { OtherDemand, Quota, QuotaLimit } from "./types.ts";

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

/** No other instance takes tokens. */
const ALONE = { perSecond: 0, lagMs: 0, drawn: 0 };

/**
 * Takes one token, or reports that the customer is over its rate. `drawn` is a
 * random number in [0, 1).
 */
export function takeQuota(
  quota: Quota,
  limit: QuotaLimit,
  reachableShare: number,
  nowMs: number,
  others: OtherDemand & { readonly drawn: number } = ALONE,
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
  const { ratePerSecond, burst } = limit;
  const reached = {
    ratePerSecond: ratePerSecond * reachableShare,
    burst: burst * reachableShare,
  };
  if (others.drawn >= computeAdmittedPart(refilled.tokens, reached, others)) {
    const freeInMs = MS_PER_SECOND / reached.ratePerSecond;
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
