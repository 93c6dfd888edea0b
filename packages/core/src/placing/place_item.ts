import type { Candidate, UpstreamEntry } from "./types.ts";

/**
 * Places a batch item at the emptiest upstream among `candidates`, those at
 * which this worker may start one; none where there is no such.
 */
export function placeItem(
  candidates: readonly Candidate[],
  tried: ReadonlySet<string>,
  nowMs: number,
): UpstreamEntry | undefined {
  const [best] = candidates
    .filter(({ entry }) => !entry.isDraining && !tried.has(entry.id))
    .filter(({ isRampOpen }) => isRampOpen)
    .filter(({ entry }) => entry.coldUntilMs <= nowMs)
    .filter(({ suspectUntilMs }) => suspectUntilMs <= nowMs)
    .map(({ entry, open }) => ({
      entry,
      free: entry.slots - open.online - open.batch,
    }))
    .sort((a, b) => b.free - a.free);
  return best?.entry;
}
