import type { InstanceState } from "../instance/types.ts";
import { JOBS } from "./constants.ts";
import { ITEM_STATES } from "./item_states.ts";
import type { Job, Segment } from "./types.ts";

/**
 * The index in its job of the next item of an owned segment that may start
 * now, or undefined. Looks at the clock, so that an owner that was paused
 * past its lease starts nothing.
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
  const wanted = job.record.spec.isIdempotent
    ? ITEM_STATES.PENDING
    : ITEM_STATES.READY;
  const offset = segment.items.indexOf(wanted, segment.cursor);
  return offset < 0 ? undefined : segment.first + offset;
}

function canStartItems(
  state: InstanceState,
  { segment, job }: { readonly segment: Segment; readonly job: Job },
  nowMs: number,
): boolean {
  const isRunning = job.record.phase === "in_progress" && !job.isCancelled;
  if (!isRunning || state.isStopping || nowMs < segment.pauseUntilMs) {
    return false;
  }
  const isHeld =
    segment.phase === "owned" && nowMs - segment.confirmedMs < JOBS.LAPSE_MS;
  const isAwake = nowMs - state.jobs.tickMs < JOBS.PAUSE_MS;
  const hasRoom = segment.uncommitted < JOBS.OFFLINE_ITEMS;
  const isOwner = segment.phase === "owned" || segment.phase === "suspended";
  const goesOnOffline =
    isOwner && segment.isOffline && isAwake && job.record.spec.isIdempotent;
  return hasRoom && (isHeld || goesOnOffline);
}
