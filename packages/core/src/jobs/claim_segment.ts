import type { InstanceState, Step } from "../instance/types.ts";
import { JOBS } from "./constants.ts";
import { ITEM_STATES } from "./item_states.ts";
import { SEGMENT_CHART } from "./segment_chart.ts";
import type { FreeSegment, Job, Segment } from "./types.ts";
import { writeSegment } from "./write_segment.ts";

/** Claims a segment under the next fencing number; its CAS decides. */
export function claimSegment(
  state: InstanceState,
  { job, number, found }: FreeSegment & { readonly job: Job },
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
    tries: {},
    parts: found?.record.parts ?? [],
    intents: found?.record.intents ?? [],
    fence: (found?.record.fence ?? 0) + 1,
    count: 0,
    version: found?.version ?? 0,
    confirmedMs: nowMs,
    askedMs: nowMs,
    wroteMs: nowMs,
    oldestMs: undefined,
    uncommitted: 0,
    isAsking: false,
    mustRead: false,
    isOffline: false,
    retryMs: nowMs,
    pauseUntilMs: 0,
  };
  const soon = { ...state, jobs: { ...state.jobs, nextSeekMs: nowMs } };
  return writeSegment(soon, segment, nowMs);
}
