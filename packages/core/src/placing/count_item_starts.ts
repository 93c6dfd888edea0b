import { rankByRendezvous } from "../shared/rank_by_rendezvous.ts";
import type { Candidate } from "./types.ts";

/**
 * How many items this worker may start at an upstream before the others have
 * heard of it. All workers see the same free slots; each gets an equal part,
 * and what can't be divided goes by a rank that `round` turns.
 */
export function countItemStarts(
  { entry, open }: Pick<Candidate, "entry" | "open">,
  workerId: string,
  workerIds: readonly string[],
  round: number,
): number {
  const free = Math.max(0, entry.slots - open.online - open.batch);
  const ids = workerIds.includes(workerId)
    ? workerIds
    : [...workerIds, workerId];
  const rank = rankByRendezvous(`${entry.id}/${round}`, ids).indexOf(workerId);
  const remainder = free % ids.length;
  return Math.floor(free / ids.length) + (rank < remainder ? 1 : 0);
}
