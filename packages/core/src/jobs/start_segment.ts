import { chainAll } from "../instance/chain_all.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { advanceItems } from "./advance_items.ts";
import { advanceSegment } from "./advance_segment.ts";
import { buildSegmentKey } from "./build_segment_key.ts";
import { ITEM_STATES } from "./item_states.ts";
import { listOffsets } from "./list_offsets.ts";
import { setItem } from "./set_item.ts";
import { setSegment } from "./set_segment.ts";
import { storeResult } from "./store_result.ts";
import type { ItemResult, Segment, SegmentRecord } from "./types.ts";

const MAY_HAVE_RUN: ItemResult = {
  kind: "error",
  code: "may_have_run",
  message: "its instance was lost after the item may have been started",
};

/**
 * Resumes a claimed segment where its previous owner stopped. Non-idempotent
 * items that a previous owner may have started end with an error, since they
 * must not run twice.
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
  const uncertain = listOffsets(record.intents).filter(
    (offset) => adopted.items[offset] === ITEM_STATES.PENDING,
  );
  const segmentKey = buildSegmentKey(segment.jobId, segment.number);
  const started = setSegment(state, { ...adopted, cursor: 0 });
  return chainAll(started, uncertain, (current, offset) => {
    const currentSegment = current.jobs.owned[segmentKey] ?? adopted;
    const ended = setItem(currentSegment, offset, "DOUBT");
    const result = MAY_HAVE_RUN;
    return storeResult(current, ended, {
      offset,
      attemptId: undefined,
      result,
    });
  });
}
