import { refillBucket } from "./refill_bucket.ts";
import type { Bucket, Limit, Loan } from "./types.ts";

/**
 * Brings a limit up to `nowMs`: refills its bucket, and gives the cap back
 * what was lent and has lapsed.
 */
export function refillLimit(limit: Limit, nowMs: number): Limit {
  const lapsed = limit.lent
    .filter(({ untilMs }) => untilMs <= nowMs)
    .sort((a, b) => a.untilMs - b.untilMs);
  const bucket = refillBucket(lapsed.reduce(returnLoan, limit.bucket), nowMs);
  const lent =
    lapsed.length > 0
      ? limit.lent.filter(({ untilMs }) => untilMs > nowMs)
      : limit.lent;
  return { ...limit, bucket, lent };
}

function returnLoan(bucket: Bucket, { tokens, untilMs }: Loan): Bucket {
  const refilled = refillBucket(bucket, untilMs);
  return { ...refilled, cap: refilled.cap + tokens };
}
