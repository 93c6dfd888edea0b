import type { FairQueueTags } from "./types.ts";

/**
 * Reads the tag at which a customer's next work may start. A customer that
 * was idle starts level with the others, not ahead of them.
 */
export function readTag(
  tags: FairQueueTags | undefined,
  customer: string,
): number {
  return tags === undefined
    ? 0
    : Math.max(tags.virtualTime, tags.finishTags[customer] ?? 0);
}
