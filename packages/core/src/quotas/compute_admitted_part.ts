import { QUOTAS } from "./constants.ts";
import type { OtherDemand, QuotaLimit } from "./types.ts";

const MS_PER_SECOND = 1_000;

/**
 * Computes the part of its requests that an instance may admit, 0 to 1. All
 * instances see about the same tokens, and none sees what the others take until
 * their next reports. So that all of them together take no more than there is,
 * each admits the part of what is asked that the bucket can spare in that time:
 * what it gains, and some of what it has beyond its target, or less where it has
 * less. Where less is asked than it has, all is admitted.
 */
export function computeAdmittedPart(
  tokens: number,
  { ratePerSecond, burst }: QuotaLimit,
  { perSecond, lagMs }: OtherDemand,
): number {
  const asked = (perSecond * lagMs) / MS_PER_SECOND;
  // The others can't take together what is there.
  if (asked <= tokens) {
    return 1;
  }
  const gained = (ratePerSecond * lagMs) / MS_PER_SECOND;
  const beyond = tokens - burst * QUOTAS.TARGET_SHARE;
  const spare = gained + beyond * QUOTAS.CORRECTION;
  return Math.min(1, Math.max(0, spare / asked));
}
