import type { Candidate, UpstreamEntry } from "./types.ts";

/**
 * Chooses the upstream with the most free slots for a batch item. `candidates`
 * are those at which this worker may start an item; draining, cold and suspect
 * upstreams and those already tried are excluded.
 */
export function placeItem(
  candidates: readonly Candidate[],
  tried: ReadonlySet<string>,
  nowMs: number,
): UpstreamEntry | undefined {
  const [best] = candidates
    .filter(({ entry }) => !entry.isDraining && !tried.has(entry.id))
    .filter(({ isRateOpen }) => isRateOpen)
    .filter(({ entry }) => entry.coldUntilMs <= nowMs)
    .filter(({ suspectUntilMs }) => suspectUntilMs <= nowMs)
    .map(({ entry, open: inFlight, unseen }) => ({
      entry,
      free: entry.slots - inFlight.online - inFlight.batch - unseen,
    }))
    .sort((a, b) => b.free - a.free);
  return best?.entry;
}
