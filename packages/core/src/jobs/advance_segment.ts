import { checkInvariant } from "../invariants/check_invariant.ts";
import { SEGMENT_CHART } from "./segment_chart.ts";
import type { Segment } from "./types.ts";

/**
 * Applies an event to a segment's phase. A missing transition violates an
 * invariant and leaves the segment unchanged.
 */
export function advanceSegment(segment: Segment, event: string): Segment {
  const next = SEGMENT_CHART.next(segment.phase, event);
  checkInvariant(
    "chart-arrow-exists",
    next !== undefined,
    () => `${segment.jobId}/${segment.number}: ${event} in ${segment.phase}`,
  );
  return next === undefined ? segment : { ...segment, phase: next };
}
