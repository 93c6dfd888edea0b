import { SPEEDS } from "./constants.ts";
import type { LikeTime } from "./types.ts";

/**
 * Updates the mean time of like requests with that of one request. What is known
 * of the upstream's slowness is taken out, so that a slow upstream doesn't make
 * the others seem fast.
 */
export function updateLikeTime(
  known: LikeTime | undefined,
  logMs: number,
  slownessLog: number,
): LikeTime {
  const usualLog = logMs - slownessLog;
  if (known === undefined) {
    return { logMs: usualLog, variance: 0, samples: 1 };
  }
  const samples = known.samples + 1;
  const share = Math.max(SPEEDS.LIKE_WEIGHT, 1 / samples);
  const difference = usualLog - known.logMs;
  const bounded = Math.min(SPEEDS.MAX_LOG, Math.abs(difference));
  return {
    logMs: known.logMs + difference * share,
    variance: known.variance + (bounded ** 2 - known.variance) * share,
    samples,
  };
}
