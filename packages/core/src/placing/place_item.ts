import { computeEffectiveLoad } from "./compute_effective_load.ts";
import { PLACING } from "./constants.ts";
import type { Candidate, UpstreamEntry } from "./types.ts";

/**
 * Chooses the upstream with the most free slots for a batch item; of a slow one
 * fewer count, the more so the longer the item still runs, by one at most. `candidates`
 * are those at which this worker may start an item; draining, cold and suspect
 * upstreams and those already tried are excluded. `length` is the time that the
 * item still runs, divided by that of a mean item.
 */
export function placeItem(
  candidates: readonly Candidate[],
  tried: ReadonlySet<string>,
  nowMs: number,
  length = 1,
): UpstreamEntry | undefined {
  const [best] = candidates
    .filter(({ entry }) => !entry.isDraining && !tried.has(entry.id))
    .filter(({ isRateOpen }) => isRateOpen)
    .filter(({ entry }) => entry.coldUntilMs <= nowMs)
    .filter(({ suspectUntilMs }) => suspectUntilMs <= nowMs)
    .map(({ entry, open: inFlight, unseen, slowness }) => {
      const load = inFlight.online + inFlight.batch + unseen;
      const delay = computeEffectiveLoad({ entry, slowness }, load) - load;
      const most = PLACING.MAX_ITEM_BIAS;
      const bias = Math.max(-most, Math.min(most, delay * length));
      return { entry, free: entry.slots - load - bias };
    })
    .sort((a, b) => b.free - a.free);
  return best?.entry;
}
