import { refillBucket } from "./refill_bucket.ts";
import type { Bucket, Limit, Loan } from "./types.ts";

/**
 * Advances a limit to `nowMs`: refills its bucket and restores the part of the
 * cap that was reduced by loans that have expired.
 */
export function refillLimit(limit: Limit, nowMs: number): Limit {
  const expired = limit.loans
    .filter(({ untilMs }) => untilMs <= nowMs)
    .sort((a, b) => a.untilMs - b.untilMs);
  const bucket = refillBucket(expired.reduce(returnLoan, limit.bucket), nowMs);
  const loans =
    expired.length > 0
      ? limit.loans.filter(({ untilMs }) => untilMs > nowMs)
      : limit.loans;
  return { ...limit, bucket, loans };
}

function returnLoan(bucket: Bucket, { tokens, untilMs }: Loan): Bucket {
  const refilled = refillBucket(bucket, untilMs);
  return { ...refilled, cap: refilled.cap + tokens };
}
