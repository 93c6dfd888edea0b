import type { InstanceState } from "../instance/types.ts";
import { checkInvariant } from "../invariants/check_invariant.ts";
import { setItem } from "./set_item.ts";
import { setSegment } from "./set_segment.ts";
import type { Segment } from "./types.ts";

/** Records that an item returned by `findStartableItem` was started. */
export function recordItemStarted(
  state: InstanceState,
  segment: Segment,
  index: number,
): InstanceState {
  const { jobId } = segment;
  const job = state.jobs.known[jobId];
  checkInvariant(
    "cancelled-job-stops",
    job?.record.phase === "in_progress" && !job.isCancelled,
    () => `${jobId}/${index} starts in phase ${job?.record.phase}`,
  );
  const offset = index - segment.first;
  const started = setItem(segment, offset, "START");
  return setSegment(state, { ...started, cursor: offset + 1 });
}
