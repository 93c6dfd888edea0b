import type { Candidate } from "./types.ts";

/**
 * Counts the free slots of an upstream that online requests are likely to need
 * before news of them arrives: what is expected to come until then, and the
 * standard deviation of as many independent requests. What is in flight already
 * is counted with the slots in use.
 */
export function countHeadroom({ unseen }: Pick<Candidate, "unseen">): number {
  return Math.floor(unseen + Math.sqrt(unseen));
}
