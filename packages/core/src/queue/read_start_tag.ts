import type { FairQueueTags } from "./types.ts";

/**
 * Returns the start tag of a customer's next work. The tag of a customer that
 * was idle is raised to the virtual time, so that it gains no advantage.
 */
export function readStartTag(
  tags: FairQueueTags | undefined,
  customer: string,
): number {
  return tags === undefined
    ? 0
    : Math.max(tags.virtualTime, tags.finishTags[customer] ?? 0);
}
