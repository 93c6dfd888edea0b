import { computeWeight } from "./compute_weight.ts";
import { SPEEDS } from "./constants.ts";
import type { SpeedEvidence } from "./types.ts";

/**
 * Estimates the logarithm of an upstream's slowness from the evidence of all
 * instances, newer evidence counting for more. `baseLog` is what is known of it
 * in the long run; 0 of a new upstream.
 */
export function estimateSlownessLog(
  evidence: readonly SpeedEvidence[],
  baseLog: number,
  nowMs: number,
): { readonly log: number; readonly weight: number } {
  const weights = evidence.map((one) => computeWeight(one, nowMs));
  const weight = weights.reduce((sum, one) => sum + one, 0);
  const sum = evidence.reduce(
    (total, { logMean }, n) => total + logMean * (weights[n] ?? 0),
    0,
  );
  const prior = SPEEDS.PRIOR_WEIGHT;
  return { log: (sum + prior * baseLog) / (weight + prior), weight };
}
