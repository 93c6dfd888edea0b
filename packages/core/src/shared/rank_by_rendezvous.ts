import { hashText } from "./hash_text.ts";

/**
 * Orders `ids` by rendezvous hashing for `key`, highest weight first. Instances
 * with the same ids compute the same order without communicating.
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
