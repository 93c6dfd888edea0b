import { advanceItem } from "./advance_item.ts";
import type { Segment } from "./types.ts";

/**
 * Applies an event to those of the given items that are in state `from`,
 * copying the list once.
 */
export function advanceItems(
  segment: Segment,
  offsets: readonly number[],
  { from, event }: { readonly from: number; readonly event: string },
): Segment {
  const selected = new Set(offsets);
  const items = segment.items.map((item, offset) =>
    item === from && selected.has(offset) ? advanceItem(item, event) : item,
  );
  const lowestOffset = offsets.reduce(
    (lowest, offset) => Math.min(lowest, offset),
    segment.cursor,
  );
  return { ...segment, items, cursor: lowestOffset };
}
