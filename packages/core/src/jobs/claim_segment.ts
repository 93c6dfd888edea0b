import type { InstanceState, Step } from "../instance/types.ts";
import { JOBS } from "./constants.ts";
import { ITEM_STATES } from "./item_states.ts";
import { SEGMENT_CHART } from "./segment_chart.ts";
import type { ClaimableSegment, Job, Segment } from "./types.ts";
import { writeSegment } from "./write_segment.ts";

/**
 * Claims a segment under the next fencing number. The compare-and-swap decides
 * between competing claims.
 */
export function claimSegment(
  state: InstanceState,
  { job, number, listed }: ClaimableSegment & { readonly job: Job },
  nowMs: number,
): Step {
  const { jobId, itemCount } = job.record.spec;
  const first = number * JOBS.SEGMENT_ITEMS;
  const length = Math.min(JOBS.SEGMENT_ITEMS, itemCount - first);
  const segment: Segment = {
    jobId,
    number,
    first,
    phase: SEGMENT_CHART.initial,
    items: Array.from({ length }, () => ITEM_STATES.PENDING),
    cursor: 0,
    attemptCounts: {},
    parts: listed?.record.parts ?? [],
    intents: listed?.record.intents ?? [],
    fence: (listed?.record.fence ?? 0) + 1,
    count: 0,
    version: listed?.version ?? 0,
    confirmedAtMs: nowMs,
    requestedAtMs: nowMs,
    lastWriteAtMs: nowMs,
    oldestUncommittedAtMs: undefined,
    uncommittedCount: 0,
    isCallPending: false,
    mustReadBack: false,
    isOffline: false,
    retryAtMs: nowMs,
    pausedUntilMs: 0,
  };
  const scanDue = { ...state, jobs: { ...state.jobs, nextScanAtMs: nowMs } };
  return writeSegment(scanDue, segment, nowMs);
}
