import type { InstanceState } from "../instance/types.ts";
import { setEntry } from "../shared/set_entry.ts";
import { buildSegmentKey } from "./build_segment_key.ts";
import type { Segment } from "./types.ts";

/** Returns the state with an owned segment replaced. */
export function setSegment(
  state: InstanceState,
  segment: Segment,
): InstanceState {
  const segmentKey = buildSegmentKey(segment.jobId, segment.number);
  const owned = setEntry(state.jobs.owned, segmentKey, segment);
  return { ...state, jobs: { ...state.jobs, owned } };
}
