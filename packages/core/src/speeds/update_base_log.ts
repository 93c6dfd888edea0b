import { SPEEDS } from "./constants.ts";

/** An estimate, and the time since the one before it, in ms. */
type NewEstimate = {
  readonly log: number;
  /** Samples that the evidence counts for. */
  readonly weight: number;
  readonly passedMs: number;
};

/**
 * Updates what is known of an upstream in the long run: it follows the estimate
 * while there is evidence and fades without, so that an upstream that gets no
 * requests for its slowness is tried again.
 */
export function updateBaseLog(
  baseLog: number,
  { log, weight, passedMs }: NewEstimate,
): number {
  if (weight < 1) {
    return baseLog * Math.exp(-passedMs / SPEEDS.BASE_FADE_MS);
  }
  const share = 1 - Math.exp(-passedMs / SPEEDS.BASE_FOLLOW_MS);
  return baseLog + (log - baseLog) * share;
}
