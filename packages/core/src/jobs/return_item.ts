import type { InstanceState } from "../instance/types.ts";
import type { WorkOrigin } from "../work/types.ts";
import { findSegmentOf } from "./find_segment_of.ts";
import { setSegment } from "./set_segment.ts";
import { yieldItem } from "./yield_item.ts";

/** Gives an item back to its job, to start again after `tries` tries. */
export function returnItem(
  state: InstanceState,
  origin: Extract<WorkOrigin, { kind: "item" }>,
  tries: number,
): InstanceState {
  const segment = findSegmentOf(state, origin);
  if (segment === undefined) {
    return state;
  }
  const offset = origin.index - segment.first;
  const noted = { ...segment, tries: { ...segment.tries, [offset]: tries } };
  return yieldItem(setSegment(state, noted), origin);
}
