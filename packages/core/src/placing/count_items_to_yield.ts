import type { Candidate } from "./types.ts";

/** Number of batch items that one worker runs at an upstream. */
type WorkerItems = { readonly workerId: string; readonly items: number };

/**
 * Counts the items that this worker withdraws from an upstream that has online
 * requests and more work than slots. Each excess item is assigned to one
 * worker, those with the most items first, so that no two workers withdraw an
 * item for the same request.
 */
export function countItemsToYield(
  { entry, open: inFlight }: Pick<Candidate, "entry" | "open">,
  workerId: string,
  workers: readonly WorkerItems[],
): number {
  const excess = inFlight.online + inFlight.batch - entry.slots;
  if (inFlight.online === 0 || excess <= 0) {
    return 0;
  }
  const ranked = workers
    .flatMap((worker) => listItemRanks(worker))
    .sort(
      (a, b) => b.remaining - a.remaining || (a.workerId < b.workerId ? -1 : 1),
    );
  return ranked.slice(0, excess).filter((item) => item.workerId === workerId)
    .length;
}

/** Returns one entry per item, with the number of items its worker has left. */
function listItemRanks({ workerId, items }: WorkerItems) {
  return Array.from({ length: items }, (_, index) => ({
    workerId,
    remaining: items - index,
  }));
}
