import type { InstanceState } from "../instance/types.ts";
import { addToRanges } from "./add_to_ranges.ts";
import { ITEM_STATES } from "./item_states.ts";
import { listOffsets } from "./list_offsets.ts";
import type { Ranges, Segment, SegmentRecord } from "./types.ts";

/** Builds the record that the next write of a segment holds. */
export function buildSegmentRecord(
  state: InstanceState,
  segment: Segment,
): SegmentRecord {
  const { instanceId, incarnation } = state.self;
  const isEnded = segment.items.every((item) => item >= ITEM_STATES.STORED);
  const isHandedBack = segment.phase === "releasing";
  return {
    state: isEnded ? "done" : segment.phase === "closing" ? "closed" : "open",
    owner: isHandedBack && !isEnded ? "" : instanceId,
    incarnation,
    fence: segment.fence,
    count: segment.count + 1,
    parts: segment.parts.filter(({ done }) => done.length > 0),
    intents: isHandedBack ? listStarted(segment) : segment.intents,
  };
}

/** Intents of items that did start; the others surely never ran. */
function listStarted({ intents, items }: Segment): Ranges {
  return listOffsets(intents)
    .filter((offset) => (items[offset] ?? 0) >= ITEM_STATES.RUNNING)
    .reduce<Ranges>(addToRanges, []);
}
