import type { Admission } from "@gooseberryline/fakes";

const MS_PER_SECOND = 1000;
const ROUNDING_TOLERANCE_TOKENS = 1e-6;

/** A rate limit that applies from `fromMs` on. */
export type LimitPeriod = {
  readonly fromMs: number;
  readonly rate: number;
  readonly burst: number;
};

/**
 * Finds the first admission that exceeds rate x window + burst in some window
 * that ends there. A single token bucket for the whole fleet, full at the
 * start, stays at or above zero exactly if no window exceeds the limit.
 */
export function findOverrun(
  admissions: readonly Admission[],
  periods: readonly LimitPeriod[],
): Admission | undefined {
  const firstPeriod = periods[0];
  const bucket = {
    tokens: firstPeriod?.burst ?? 0,
    atMs: firstPeriod?.fromMs ?? 0,
  };
  return admissions.find(({ atMs, count }) => {
    periods
      .filter(({ fromMs }) => fromMs <= atMs)
      .forEach(({ rate, burst }, index, all) => {
        const endMs = Math.min(atMs, all[index + 1]?.fromMs ?? atMs);
        const elapsedMs = Math.max(0, endMs - bucket.atMs);
        const accrued = (elapsedMs * rate) / MS_PER_SECOND;
        bucket.tokens = Math.min(burst, bucket.tokens + accrued);
        bucket.atMs = Math.max(bucket.atMs, endMs);
      });
    bucket.tokens -= count;
    return bucket.tokens < -ROUNDING_TOLERANCE_TOKENS;
  });
}
