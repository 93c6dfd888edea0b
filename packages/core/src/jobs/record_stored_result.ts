import type { JobId } from "../ids/types.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { checkInvariant } from "../invariants/check_invariant.ts";
import { addToRanges } from "./add_to_ranges.ts";
import { findOwnedSegment } from "./find_owned_segment.ts";
import { ITEM_STATES } from "./item_states.ts";
import { setItem } from "./set_item.ts";
import { setSegment } from "./set_segment.ts";
import type { ItemResult, SegmentPart } from "./types.ts";

const FIRST_ERROR_STATUS = 400;

/**
 * Records that an item's result is stored on its disks and awaits its commit.
 */
export function recordStoredResult(
  state: InstanceState,
  stored: {
    readonly jobId: JobId;
    readonly index: number;
    readonly result: ItemResult;
    readonly blobId: string;
  },
  nowMs: number,
): Step {
  const segment = findOwnedSegment(state, stored);
  const offset = stored.index - (segment?.first ?? 0);
  const isExpected = segment?.parts.some(
    ({ blobId }) => blobId === stored.blobId,
  );
  if (segment === undefined || isExpected !== true) {
    return { state, effects: [] };
  }
  checkInvariant(
    "item-completes-once",
    segment.items[offset] === ITEM_STATES.STORING,
    () => `${stored.jobId}/${stored.index} in state ${segment.items[offset]}`,
  );
  const parts = segment.parts.map((part) =>
    part.blobId === stored.blobId
      ? addResultToPart(part, offset, stored)
      : part,
  );
  const updated = setItem(segment, offset, "STORED");
  const oldestUncommittedAtMs = segment.oldestUncommittedAtMs ?? nowMs;
  const uncommittedCount = segment.uncommittedCount + 1;
  return {
    state: setSegment(state, {
      ...updated,
      parts,
      oldestUncommittedAtMs,
      uncommittedCount,
    }),
    effects: [],
  };
}

function addResultToPart(
  part: SegmentPart,
  offset: number,
  { result }: { readonly result: ItemResult },
): SegmentPart {
  const isAnswer =
    result.kind === "answer" && result.status < FIRST_ERROR_STATUS;
  return {
    ...part,
    done: addToRanges(part.done, offset),
    failed: isAnswer ? part.failed : addToRanges(part.failed, offset),
  };
}
