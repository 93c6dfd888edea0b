import type { JobId } from "../ids/types.ts";
import type { InstanceState } from "../instance/types.ts";
import { buildSegmentKey } from "./build_segment_key.ts";
import { JOBS } from "./constants.ts";
import type { Segment } from "./types.ts";

/** Returns the segment that contains an item, if this instance owns it. */
export function findOwnedSegment(
  state: InstanceState,
  { jobId, index }: { readonly jobId: JobId; readonly index: number },
): Segment | undefined {
  const number = Math.floor(index / JOBS.SEGMENT_ITEMS);
  return state.jobs.owned[buildSegmentKey(jobId, number)];
}
