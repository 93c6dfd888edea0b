import type { JobId } from "../ids/types.ts";
import type { InstanceState } from "../instance/types.ts";
import { findOwnedSegment } from "./find_owned_segment.ts";
import { ITEM_STATES } from "./item_states.ts";
import { setItem } from "./set_item.ts";
import { setSegment } from "./set_segment.ts";

/**
 * Makes a running item startable again. Valid only for an idempotent item, for
 * one that did not run, or in a segment that is about to be dropped.
 */
export function requeueItem(
  state: InstanceState,
  item: { readonly jobId: JobId; readonly index: number },
): InstanceState {
  const segment = findOwnedSegment(state, item);
  const spec = state.jobs.known[item.jobId]?.record.spec;
  const offset = item.index - (segment?.first ?? 0);
  const isRunning = segment?.items[offset] === ITEM_STATES.RUNNING;
  if (segment === undefined || spec === undefined || !isRunning) {
    return state;
  }
  const event = spec.isIdempotent ? "YIELD" : "POSTPONE";
  return setSegment(state, setItem(segment, offset, event));
}
