import { chainAll } from "../instance/chain_all.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { advanceItems } from "./advance_items.ts";
import { advanceSegment } from "./advance_segment.ts";
import { buildSegmentKey } from "./build_segment_key.ts";
import { ITEM_STATES } from "./item_states.ts";
import { listOffsets } from "./list_offsets.ts";
import { setItem } from "./set_item.ts";
import { setSegment } from "./set_segment.ts";
import { storeItem } from "./store_item.ts";
import type { ItemResult, Segment, SegmentRecord } from "./types.ts";

const MAY_HAVE_RUN: ItemResult = {
  kind: "error",
  code: "may_have_run",
  message: "its instance was lost after the item may have been started",
};

/**
 * Begins a claimed segment where its last owner stopped. Items that an
 * earlier owner may have started, and that may not run twice, end here.
 */
export function startSegment(
  state: InstanceState,
  segment: Segment,
  record: SegmentRecord,
): Step {
  const done = record.parts.flatMap((part) => listOffsets(part.done));
  const claimed = advanceSegment(segment, "CLAIMED");
  const adopted = advanceItems(claimed, done, {
    from: ITEM_STATES.PENDING,
    event: "ADOPT",
  });
  const doubtful = listOffsets(record.intents).filter(
    (offset) => adopted.items[offset] === ITEM_STATES.PENDING,
  );
  const name = buildSegmentKey(segment.jobId, segment.number);
  const begun = setSegment(state, { ...adopted, cursor: 0 });
  return chainAll(begun, doubtful, (at, offset) => {
    const now = at.jobs.owned[name] ?? adopted;
    const marked = setItem(now, offset, "DOUBT");
    const result = MAY_HAVE_RUN;
    return storeItem(at, marked, { offset, attemptId: undefined, result });
  });
}
