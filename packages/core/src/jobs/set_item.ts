import { advanceItem } from "./advance_item.ts";
import type { Segment } from "./types.ts";

/** Applies an event to the item at the given offset of a segment. */
export function setItem(
  segment: Segment,
  offset: number,
  event: string,
): Segment {
  const next = advanceItem(segment.items[offset] ?? 0, event);
  const items = segment.items.with(offset, next);
  return { ...segment, items, cursor: Math.min(segment.cursor, offset) };
}
