import type { UpstreamEntry } from "../placing/types.ts";
import { rankByRendezvous } from "../shared/rank_by_rendezvous.ts";
import { ROLLOUTS } from "./constants.ts";
import type { RolloutOrder } from "./types.ts";

/**
 * Chooses the few upstreams of the new version that serve the trial, so that each
 * of them is about as busy as it will be with all requests. All instances choose
 * the same ones.
 */
export function chooseTrialUpstreams(
  entries: readonly UpstreamEntry[],
  { revision }: Pick<RolloutOrder, "revision">,
  share: number,
): ReadonlySet<string> {
  const ids = entries.map(({ id }) => id);
  const count = Math.max(
    ROLLOUTS.MIN_TRIAL_UPSTREAMS,
    Math.ceil(ids.length * share),
  );
  return new Set(rankByRendezvous(`${revision}`, ids).slice(0, count));
}
