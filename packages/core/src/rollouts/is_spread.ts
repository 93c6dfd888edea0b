import { ROLLOUTS } from "./constants.ts";
import type { RolloutEvidence } from "./types.ts";

/**
 * Returns whether bad answers come from enough upstreams to be the version's and
 * not those of one machine or rack.
 */
export function isSpread({ upstreams }: RolloutEvidence): boolean {
  const answering = Object.values(upstreams).filter(
    ({ answered }) => answered > 0,
  );
  const bad = answering
    .map((counts) => counts.bad)
    .filter((count) => count > 0);
  const all = bad.reduce((sum, count) => sum + count, 0);
  const others = all - Math.max(0, ...bad);
  const isOnlyOne = answering.length === 1;
  return (
    bad.length >= Math.ceil(answering.length * ROLLOUTS.MIN_SPREAD_PART) &&
    (isOnlyOne || others >= all * ROLLOUTS.MIN_OTHERS_PART)
  );
}
