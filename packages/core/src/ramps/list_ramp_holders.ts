import { rankByRendezvous } from "../shared/rank_by_rendezvous.ts";
import type { RampLimit } from "./types.ts";

/** Half of the allowance is left for instances that disagree on the list. */
const HOLDER_SHARE = 0.5;

/**
 * Lists the instances that may send to a cold upstream. Each may send one
 * request beyond its part of the rate in a second, so their number is bounded
 * by what a second may hold beyond the rate.
 */
export function listRampHolders(
  upstreamId: string,
  instanceIds: readonly string[],
  { perSecond, over, slack }: RampLimit,
): readonly string[] {
  const spare = perSecond * (over - 1) + slack;
  const count = Math.max(1, Math.floor(spare * HOLDER_SHARE));
  return rankByRendezvous(upstreamId, instanceIds).slice(0, count);
}
