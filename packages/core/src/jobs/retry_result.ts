import type { AttemptId, InstanceId, JobId } from "../ids/types.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { findOwnedSegment } from "./find_owned_segment.ts";
import { ITEM_STATES } from "./item_states.ts";
import { storeResult } from "./store_result.ts";
import type { ItemResult } from "./types.ts";

/** Stores a result on different disks after one of the chosen disks failed. */
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
  const segment = findOwnedSegment(state, failed);
  const offset = failed.index - (segment?.first ?? 0);
  const isStoring =
    segment?.items[offset] === ITEM_STATES.STORING &&
    segment.parts.some(({ blobId }) => blobId === failed.blobId);
  if (segment === undefined || !isStoring) {
    return { state, effects: [] };
  }
  const { attemptId, result, disk } = failed;
  return storeResult(state, segment, {
    offset,
    attemptId,
    result,
    avoid: [disk],
  });
}
