import type { InstanceState } from "../instance/types.ts";
import type { WorkOrigin } from "../work/types.ts";
import { findOwnedSegment } from "./find_owned_segment.ts";
import { requeueItem } from "./requeue_item.ts";
import { setSegment } from "./set_segment.ts";

/**
 * Returns an item to its segment with the given number of attempts, so that it
 * starts again.
 */
export function retryItem(
  state: InstanceState,
  origin: Extract<WorkOrigin, { kind: "item" }>,
  attemptCount: number,
): InstanceState {
  const segment = findOwnedSegment(state, origin);
  if (segment === undefined) {
    return state;
  }
  const offset = origin.index - segment.first;
  const updated = {
    ...segment,
    attemptCounts: { ...segment.attemptCounts, [offset]: attemptCount },
  };
  return requeueItem(setSegment(state, updated), origin);
}
