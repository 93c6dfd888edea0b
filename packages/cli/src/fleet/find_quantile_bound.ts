import type { MetricSample } from "./types.ts";

/** No request was counted, or the quantile exceeds the largest bound. */
const NO_BOUND = -1;

/** Finds the smallest bucket bound that covers this share of the counts. */
export function findQuantileBound(
  buckets: readonly MetricSample[],
  share: number,
): number {
  const bounds = buckets
    .map(({ labels, value }) => ({ bound: Number(labels.le), count: value }))
    .filter(({ bound }) => Number.isFinite(bound))
    .sort((a, b) => a.bound - b.bound);
  const total = Math.max(0, ...buckets.map(({ value }) => value));
  const found = bounds.find(({ count }) => count >= total * share);
  return total === 0 ? NO_BOUND : (found?.bound ?? NO_BOUND);
}
