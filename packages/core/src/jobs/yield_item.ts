import type { JobId } from "../ids/types.ts";
import type { InstanceState } from "../instance/types.ts";
import { findSegmentOf } from "./find_segment_of.ts";
import { ITEM_STATES } from "./item_states.ts";
import { setItem } from "./set_item.ts";
import { setSegment } from "./set_segment.ts";

/**
 * Puts a running item back, to be started again later. Only for an idempotent
 * item, or one that surely did not run.
 */
export function yieldItem(
  state: InstanceState,
  item: { readonly jobId: JobId; readonly index: number },
): InstanceState {
  const segment = findSegmentOf(state, item);
  const spec = state.jobs.known[item.jobId]?.record.spec;
  const offset = item.index - (segment?.first ?? 0);
  const isRunning = segment?.items[offset] === ITEM_STATES.RUNNING;
  if (segment === undefined || spec === undefined || !isRunning) {
    return state;
  }
  const event = spec.isIdempotent ? "YIELD" : "POSTPONE";
  return setSegment(state, setItem(segment, offset, event));
}
