import { rankByRendezvous } from "../shared/rank_by_rendezvous.ts";
import type { RampLimit } from "./types.ts";

/** Half of the allowance is reserved for instances with a different list. */
const SENDER_SHARE = 0.5;

/**
 * Lists the instances that may send to a cold upstream. Each may exceed its
 * share of the rate by one request in a second, so their number is limited by
 * the requests that a second may hold beyond the rate.
 */
export function listRampSenders(
  upstreamId: string,
  instanceIds: readonly string[],
  { perSecond, over, slack }: RampLimit,
): readonly string[] {
  const excessPerSecond = perSecond * (over - 1) + slack;
  const count = Math.max(1, Math.floor(excessPerSecond * SENDER_SHARE));
  return rankByRendezvous(upstreamId, instanceIds).slice(0, count);
}
