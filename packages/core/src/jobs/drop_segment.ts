import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { dropEntry } from "../shared/drop_entry.ts";
import { advanceSegment } from "./advance_segment.ts";
import { buildSegmentKey } from "./build_segment_key.ts";
import { stopItems } from "./stop_items.ts";
import type { Segment } from "./types.ts";

/** Lets go of a segment that ended, was handed back or is another's now. */
export function dropSegment(
  state: InstanceState,
  segment: Segment,
  event: "FINISH" | "RELEASED" | "LOSE",
): Step {
  advanceSegment(segment, event);
  const name = buildSegmentKey(segment.jobId, segment.number);
  return chainStep(stopItems(state, segment, { isAll: true }), (at) => {
    const owned = dropEntry(at.jobs.owned, name);
    return { state: { ...at, jobs: { ...at.jobs, owned } }, effects: [] };
  });
}
