import type { InstanceState } from "../instance/types.ts";
import { addToRanges } from "./add_to_ranges.ts";
import { ITEM_STATES } from "./item_states.ts";
import { listOffsets } from "./list_offsets.ts";
import type { Ranges, Segment, SegmentRecord } from "./types.ts";

/** Builds the record for the next write of a segment. */
export function buildSegmentRecord(
  state: InstanceState,
  segment: Segment,
): SegmentRecord {
  const { instanceId, incarnation } = state.self;
  const isEnded = segment.items.every((item) => item >= ITEM_STATES.STORED);
  const isReleasing = segment.phase === "releasing";
  return {
    state: isEnded ? "done" : segment.phase === "closing" ? "closed" : "open",
    owner: isReleasing && !isEnded ? "" : instanceId,
    incarnation,
    fence: segment.fence,
    count: segment.count + 1,
    parts: segment.parts.filter(({ done }) => done.length > 0),
    intents: isReleasing ? listStartedIntents(segment) : segment.intents,
  };
}

/** Lists the intents of items that were started. The other items never ran. */
function listStartedIntents({ intents, items }: Segment): Ranges {
  return listOffsets(intents)
    .filter((offset) => (items[offset] ?? 0) >= ITEM_STATES.RUNNING)
    .reduce<Ranges>(addToRanges, []);
}
