import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { addToRanges } from "./add_to_ranges.ts";
import { advanceSegment } from "./advance_segment.ts";
import { buildSegmentKey } from "./build_segment_key.ts";
import { JOBS } from "./constants.ts";
import { isOwnDataCentreEvacuated } from "./is_own_data_centre_evacuated.ts";
import { ITEM_STATES } from "./item_states.ts";
import { readSegment } from "./read_segment.ts";
import { setItem } from "./set_item.ts";
import { setSegment } from "./set_segment.ts";
import { stopItems } from "./stop_items.ts";
import type { Job, Ranges, Segment } from "./types.ts";
import { writeSegment } from "./write_segment.ts";

const { PENDING, INTENDING, READY, RUNNING, STORING, STORED } = ITEM_STATES;

/**
 * Runs the actions due for an owned segment: claiming, progress writes and
 * release.
 */
export function stepSegment(
  state: InstanceState,
  segmentKey: string,
  nowMs: number,
): Step {
  const segment = state.jobs.owned[segmentKey];
  const job = state.jobs.known[segment?.jobId ?? ""];
  if (segment === undefined || job === undefined) {
    return { state, effects: [] };
  }
  const transitioned = closeOrSuspend(state, segment, { job, nowMs });
  return chainStep(transitioned, (current) => {
    const currentSegment = current.jobs.owned[segmentKey];
    return currentSegment === undefined
      ? { state: current, effects: [] }
      : requestDueCall(current, currentSegment, nowMs);
  });

  function requestDueCall(
    current: InstanceState,
    currentSegment: Segment,
    callMs: number,
  ): Step {
    if (currentSegment.isCallPending || callMs < currentSegment.retryAtMs) {
      return { state: current, effects: [] };
    }
    if (currentSegment.mustReadBack) {
      return readSegment(current, currentSegment, callMs);
    }
    const isIdempotent = job?.record.spec.isIdempotent ?? true;
    const isLeaving = current.isStopping || isOwnDataCentreEvacuated(current);
    const intended =
      isIdempotent || isLeaving ? currentSegment : markIntents(currentSegment);
    return isWriteDue(intended, callMs)
      ? writeSegment(current, intended, callMs)
      : { state: current, effects: [] };
  }
}

/**
 * Closes, releases or suspends a segment if its job, the instance or the lease
 * requires it.
 */
function closeOrSuspend(
  state: InstanceState,
  segment: Segment,
  { job, nowMs }: { readonly job: Job; readonly nowMs: number },
): Step {
  const { phase } = segment;
  const isOwned = phase === "owned" || phase === "suspended";
  if (job.isCancelled && (isOwned || phase === "releasing")) {
    return releaseSegment(state, segment, "CLOSE");
  }
  if ((state.isStopping || isOwnDataCentreEvacuated(state)) && isOwned) {
    return releaseSegment(state, segment, "HAND_BACK");
  }
  const isUnconfirmed = nowMs - segment.confirmedAtMs >= JOBS.SUSPEND_AFTER_MS;
  if (phase === "owned" && isUnconfirmed) {
    const suspended = advanceSegment(segment, "LAPSE");
    return {
      state: setSegment(state, { ...suspended, mustReadBack: true }),
      effects: [],
    };
  }
  return { state, effects: [] };
}

function releaseSegment(
  state: InstanceState,
  segment: Segment,
  event: "CLOSE" | "HAND_BACK",
): Step {
  const segmentKey = buildSegmentKey(segment.jobId, segment.number);
  return chainStep(stopItems(state, segment, { isAll: false }), (current) => {
    const currentSegment = current.jobs.owned[segmentKey] ?? segment;
    return {
      state: setSegment(current, advanceSegment(currentSegment, event)),
      effects: [],
    };
  });
}

/**
 * Marks the next items of a non-idempotent job, so that the next write records
 * their intents.
 */
function markIntents(segment: Segment): Segment {
  const isOwned = segment.phase === "owned";
  const hasIntendedItems =
    segment.items.includes(READY) || segment.items.includes(INTENDING);
  if (!isOwned || hasIntendedItems) {
    return segment;
  }
  const offsets = segment.items
    .flatMap((item, offset) => (item === PENDING ? [offset] : []))
    .slice(0, JOBS.INTENTS_PER_WRITE);
  const intents = offsets.reduce<Ranges>(addToRanges, segment.intents);
  const marked = offsets.reduce(
    (segmentState, offset) => setItem(segmentState, offset, "INTEND"),
    segment,
  );
  return { ...marked, intents };
}

function isWriteDue(segment: Segment, nowMs: number): boolean {
  switch (segment.phase) {
    case "claiming":
      return true;
    case "closing":
    case "releasing":
      return !segment.items.some(
        (item) => item === RUNNING || item === STORING,
      );
    default:
      return isProgressDue(segment, nowMs);
  }
}

function isProgressDue(segment: Segment, nowMs: number): boolean {
  const { items, uncommittedCount, oldestUncommittedAtMs, lastWriteAtMs } =
    segment;
  const sinceWriteMs = nowMs - lastWriteAtMs;
  const isOverdue =
    oldestUncommittedAtMs !== undefined &&
    nowMs - oldestUncommittedAtMs >= JOBS.MAX_CHECKPOINT_DELAY_MS;
  const hasFullBatch =
    uncommittedCount >= JOBS.CHECKPOINT_RESULTS &&
    sinceWriteMs >= JOBS.MIN_CHECKPOINT_INTERVAL_MS;
  const isEnded = uncommittedCount > 0 && items.every((item) => item >= STORED);
  const hasIntents = items.includes(INTENDING);
  return (
    isOverdue ||
    hasFullBatch ||
    isEnded ||
    hasIntents ||
    sinceWriteMs >= JOBS.LEASE_RENEWAL_MS
  );
}
