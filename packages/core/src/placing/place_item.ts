import { PLACING } from "./constants.ts";
import type { Candidate, UpstreamEntry } from "./types.ts";

/**
 * Places a batch item at the emptiest upstream that has more free slots than
 * the reserve for online arrivals; none where no upstream has.
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
      free: entry.slots - open.online - open.batch - PLACING.BATCH_RESERVE,
    }))
    .filter(({ free }) => free > 0)
    .sort((a, b) => b.free - a.free);
  return best?.entry;
}
