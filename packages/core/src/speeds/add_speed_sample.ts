import { computeWeight } from "./compute_weight.ts";
import { SPEEDS } from "./constants.ts";
import type { SpeedRecord } from "./types.ts";

/**
 * Adds the logarithm of a measured slowness to an instance's evidence. Samples
 * that contradict it one after the other replace what was there. The more the
 * times of like requests differ by themselves (`deviation` of their logarithms),
 * the less a sample counts.
 */
export function addSpeedSample(
  known: SpeedRecord | undefined,
  sampleLog: number,
  nowMs: number,
  deviation = 0,
): SpeedRecord {
  const log = Math.max(-SPEEDS.MAX_LOG, Math.min(SPEEDS.MAX_LOG, sampleLog));
  const usual = SPEEDS.USUAL_DEVIATION;
  const count = deviation <= usual ? 1 : (usual / deviation) ** 2;
  if (known === undefined) {
    return { logMean: log, weight: count, atMs: nowMs, surprises: 0 };
  }
  const surprises = countSurprises(known, log, deviation);
  if (Math.abs(surprises) >= SPEEDS.MAX_SURPRISES) {
    const weight = SPEEDS.MAX_SURPRISES * count;
    return { logMean: log, weight, atMs: nowMs, surprises: 0 };
  }
  const before = computeWeight(known, nowMs);
  const weight = Math.min(SPEEDS.MAX_WEIGHT, before + count);
  const share = count / (before + count);
  const logMean = known.logMean + (log - known.logMean) * share;
  return { logMean, weight, atMs: nowMs, surprises };
}

function countSurprises(
  { logMean, surprises }: SpeedRecord,
  log: number,
  deviation: number,
): number {
  const difference = log - logMean;
  const least = Math.max(
    SPEEDS.SURPRISE_LOG,
    deviation * SPEEDS.SURPRISE_DEVIATIONS,
  );
  if (Math.abs(difference) < least) {
    return 0;
  }
  const side = Math.sign(difference);
  return Math.sign(surprises) === side ? surprises + side : side;
}
