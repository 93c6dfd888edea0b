import type { AttemptId, InstanceId, JobId } from "../ids/types.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { findSegmentOf } from "./find_segment_of.ts";
import { ITEM_STATES } from "./item_states.ts";
import { storeItem } from "./store_item.ts";
import type { ItemResult } from "./types.ts";

/** Stores a result on other disks after one of the chosen failed. */
export function retryResult(
  state: InstanceState,
  failed: {
    readonly jobId: JobId;
    readonly index: number;
    readonly attemptId: AttemptId | undefined;
    readonly result: ItemResult;
    readonly blobId: string;
    readonly disk: InstanceId;
  },
): Step {
  const segment = findSegmentOf(state, failed);
  const offset = failed.index - (segment?.first ?? 0);
  const isAwaited =
    segment?.items[offset] === ITEM_STATES.STORING &&
    segment.parts.some(({ blobId }) => blobId === failed.blobId);
  if (segment === undefined || !isAwaited) {
    return { state, effects: [] };
  }
  const { attemptId, result, disk } = failed;
  return storeItem(state, segment, {
    offset,
    attemptId,
    result,
    avoid: [disk],
  });
}
