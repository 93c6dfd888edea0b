import { computeWeight } from "./compute_weight.ts";
import { SPEEDS } from "./constants.ts";
import type { SpeedEvidence } from "./types.ts";

/** Own evidence of an upstream, beside what the fleet's comes to. */
type OwnEvidence = {
  readonly upstream: string;
  readonly evidence: SpeedEvidence;
  /** Logarithm of the slowness that is believed. */
  readonly believedLog: number;
};

/**
 * Chooses the evidence to tell peers, the most telling first: of upstreams whose
 * speed differs noticeably, and of those that are believed to differ, so that
 * what was told is taken back.
 */
export function chooseSpeedNews(
  own: readonly OwnEvidence[],
  nowMs: number,
): readonly OwnEvidence[] {
  return own
    .map((one) => ({
      one,
      telling:
        Math.max(Math.abs(one.evidence.logMean), Math.abs(one.believedLog)) *
        Math.min(1, computeWeight(one.evidence, nowMs)),
      isNoticeable:
        Math.abs(one.evidence.logMean) >= SPEEDS.NOTICEABLE_LOG ||
        Math.abs(one.believedLog) >= SPEEDS.NOTICEABLE_LOG,
    }))
    .filter(({ isNoticeable }) => isNoticeable)
    .sort((a, b) => b.telling - a.telling)
    .slice(0, SPEEDS.MAX_TOLD)
    .map(({ one }) => one);
}
