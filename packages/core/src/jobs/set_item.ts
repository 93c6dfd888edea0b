import { advanceItem } from "./advance_item.ts";
import type { Segment } from "./types.ts";

/** Moves one item of a segment, by its offset, along the item chart. */
export function setItem(
  segment: Segment,
  offset: number,
  event: string,
): Segment {
  const next = advanceItem(segment.items[offset] ?? 0, event);
  const items = segment.items.with(offset, next);
  return { ...segment, items, cursor: Math.min(segment.cursor, offset) };
}
