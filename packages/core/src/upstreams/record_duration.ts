import type { DurationStats } from "./types.ts";

const MEAN_WEIGHT = 1 / 16;
const DEVIATION_WEIGHT = 1 / 8;

/** Adds a duration to an exponentially weighted mean and mean deviation. */
export function recordDuration(
  stats: DurationStats,
  durationMs: number,
): DurationStats {
  const { meanMs, deviationMs, count } = stats;
  if (count === 0) {
    return { meanMs: durationMs, deviationMs: durationMs / 2, count: 1 };
  }
  const error = durationMs - meanMs;
  return {
    meanMs: meanMs + error * MEAN_WEIGHT,
    deviationMs:
      deviationMs + (Math.abs(error) - deviationMs) * DEVIATION_WEIGHT,
    count: count + 1,
  };
}
