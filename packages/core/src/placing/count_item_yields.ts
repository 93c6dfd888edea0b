import type { Candidate } from "./types.ts";

/** Batch items of one worker at an upstream. */
type WorkerItems = { readonly workerId: string; readonly items: number };

/**
 * How many items this worker takes back from an upstream that has more work
 * than slots while online work is there. Of the items too many, each is one
 * worker's: the workers with most items there come first, so that no two take
 * one back for the same request.
 */
export function countItemYields(
  { entry, open }: Pick<Candidate, "entry" | "open">,
  workerId: string,
  workers: readonly WorkerItems[],
): number {
  const excess = open.online + open.batch - entry.slots;
  if (open.online === 0 || excess <= 0) {
    return 0;
  }
  const turns = workers
    .flatMap((worker) => listTurns(worker))
    .sort(
      (a, b) => b.remaining - a.remaining || (a.workerId < b.workerId ? -1 : 1),
    );
  return turns.slice(0, excess).filter((turn) => turn.workerId === workerId)
    .length;
}

/** One entry for each item, with how many its worker has by then. */
function listTurns({ workerId, items }: WorkerItems) {
  return Array.from({ length: items }, (_, taken) => ({
    workerId,
    remaining: items - taken,
  }));
}
