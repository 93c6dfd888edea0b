import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { dropEntry } from "../shared/drop_entry.ts";
import { advanceSegment } from "./advance_segment.ts";
import { buildSegmentKey } from "./build_segment_key.ts";
import { stopItems } from "./stop_items.ts";
import type { Segment } from "./types.ts";

/**
 * Removes a segment that has finished, was released, or now belongs to another
 * instance.
 */
export function dropSegment(
  state: InstanceState,
  segment: Segment,
  event: "FINISH" | "RELEASED" | "LOSE",
): Step {
  advanceSegment(segment, event);
  const segmentKey = buildSegmentKey(segment.jobId, segment.number);
  return chainStep(stopItems(state, segment, { isAll: true }), (current) => {
    const owned = dropEntry(current.jobs.owned, segmentKey);
    return {
      state: { ...current, jobs: { ...current.jobs, owned } },
      effects: [],
    };
  });
}
