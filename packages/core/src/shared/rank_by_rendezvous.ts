import { hashText } from "./hash_text.ts";

/**
 * Orders `ids` by rendezvous hashing for `key`, best first. Every instance
 * that knows the same ids gets the same order, with no message sent.
 */
export function rankByRendezvous<Id extends string>(
  key: string,
  ids: readonly Id[],
): readonly Id[] {
  return ids
    .map((id) => ({ id, weight: hashText(`${key}|${id}`) }))
    .sort((a, b) => b.weight - a.weight || (a.id < b.id ? -1 : 1))
    .map(({ id }) => id);
}
