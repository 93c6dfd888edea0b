import type { InstanceState } from "../instance/types.ts";
import { JOBS } from "./constants.ts";
import { ITEM_STATES } from "./item_states.ts";
import type { Job, Segment } from "./types.ts";

/**
 * Returns the job index of the next item of an owned segment that may start
 * now, if any. Checks the clock, so that an owner whose process was paused
 * beyond its lease starts nothing.
 */
export function findStartableItem(
  state: InstanceState,
  segment: Segment,
  nowMs: number,
): number | undefined {
  const job = state.jobs.known[segment.jobId];
  if (job === undefined || !canStartItems(state, { segment, job }, nowMs)) {
    return undefined;
  }
  const startableState = job.record.spec.isIdempotent
    ? ITEM_STATES.PENDING
    : ITEM_STATES.READY;
  const offset = segment.items.indexOf(startableState, segment.cursor);
  return offset < 0 ? undefined : segment.first + offset;
}

function canStartItems(
  state: InstanceState,
  { segment, job }: { readonly segment: Segment; readonly job: Job },
  nowMs: number,
): boolean {
  const isRunning = job.record.phase === "in_progress" && !job.isCancelled;
  if (!isRunning || state.isStopping || nowMs < segment.pausedUntilMs) {
    return false;
  }
  const hasConfirmedLease =
    segment.phase === "owned" &&
    nowMs - segment.confirmedAtMs < JOBS.SUSPEND_AFTER_MS;
  const hasRecentTick = nowMs - state.jobs.lastTickAtMs < JOBS.PROCESS_PAUSE_MS;
  const isBelowResultLimit =
    segment.uncommittedCount < JOBS.MAX_UNCOMMITTED_RESULTS;
  const isOwner = segment.phase === "owned" || segment.phase === "suspended";
  const canContinueOffline =
    isOwner &&
    segment.isOffline &&
    hasRecentTick &&
    job.record.spec.isIdempotent;
  return isBelowResultLimit && (hasConfirmedLease || canContinueOffline);
}
