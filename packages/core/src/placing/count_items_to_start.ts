import { rankByRendezvous } from "../shared/rank_by_rendezvous.ts";
import type { Candidate } from "./types.ts";

/**
 * Counts the batch items that this worker may start at an upstream before its
 * peers learn of them. All workers see the same free slots and get an equal
 * number; the remainder is assigned by rendezvous rank, which changes with
 * `round`. `headroom` is the number of free slots to be left free.
 */
export function countItemsToStart(
  { entry, open: inFlight }: Pick<Candidate, "entry" | "open">,
  headroom: number,
  workerId: string,
  workerIds: readonly string[],
  round: number,
): number {
  const taken = inFlight.online + inFlight.batch + headroom;
  const free = Math.max(0, entry.slots - taken);
  const ids = workerIds.includes(workerId)
    ? workerIds
    : [...workerIds, workerId];
  const rank = rankByRendezvous(`${entry.id}/${round}`, ids).indexOf(workerId);
  const remainder = free % ids.length;
  return Math.floor(free / ids.length) + (rank < remainder ? 1 : 0);
}
