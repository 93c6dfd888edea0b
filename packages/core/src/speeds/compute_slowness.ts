import { SPEEDS } from "./constants.ts";

/**
 * Computes the slowness that placing uses, from its logarithm: 1 unless it
 * differs noticeably, in steps otherwise, so that noise changes no choice.
 */
export function computeSlowness(log: number): number {
  if (Math.abs(log) < SPEEDS.NOTICEABLE_LOG) {
    return 1;
  }
  const steps = Math.round(Math.exp(log) / SPEEDS.STEP);
  return Number((steps * SPEEDS.STEP).toFixed(2));
}
