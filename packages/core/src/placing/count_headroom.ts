import type { Candidate } from "./types.ts";

/**
 * Counts the free slots of an upstream that online requests are likely to need
 * before news of them arrives: what is expected to come, and the standard
 * deviation of a number of independent requests.
 */
export function countHeadroom({
  open,
  unseen,
}: Pick<Candidate, "open" | "unseen">): number {
  return Math.floor(unseen + Math.sqrt(open.online + unseen));
}
