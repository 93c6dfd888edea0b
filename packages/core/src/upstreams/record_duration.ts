import type { TimeHistory } from "./types.ts";

const MEAN_PART = 1 / 16;
const DEVIATION_PART = 1 / 8;

/** Notes one more time in a running mean and deviation. */
export function recordDuration(
  history: TimeHistory,
  tookMs: number,
): TimeHistory {
  const { meanMs, deviationMs, count } = history;
  if (count === 0) {
    return { meanMs: tookMs, deviationMs: tookMs / 2, count: 1 };
  }
  const off = tookMs - meanMs;
  return {
    meanMs: meanMs + off * MEAN_PART,
    deviationMs: deviationMs + (Math.abs(off) - deviationMs) * DEVIATION_PART,
    count: count + 1,
  };
}
