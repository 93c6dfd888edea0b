import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { addToRanges } from "./add_to_ranges.ts";
import { advanceSegment } from "./advance_segment.ts";
import { buildSegmentKey } from "./build_segment_key.ts";
import { JOBS } from "./constants.ts";
import { isOwnDataCentreOut } from "./is_own_data_centre_out.ts";
import { ITEM_STATES } from "./item_states.ts";
import { readSegment } from "./read_segment.ts";
import { setItem } from "./set_item.ts";
import { setSegment } from "./set_segment.ts";
import { stopItems } from "./stop_items.ts";
import type { Job, Ranges, Segment } from "./types.ts";
import { writeSegment } from "./write_segment.ts";

const { PENDING, INTENDING, READY, RUNNING, STORING, STORED } = ITEM_STATES;

/** Does what is due for one owned segment: claims, progress, its end. */
export function stepSegment(
  state: InstanceState,
  name: string,
  nowMs: number,
): Step {
  const segment = state.jobs.owned[name];
  const job = state.jobs.known[segment?.jobId ?? ""];
  if (segment === undefined || job === undefined) {
    return { state, effects: [] };
  }
  const turned = closeOrSuspend(state, segment, { job, nowMs });
  return chainStep(turned, (at) => {
    const now = at.jobs.owned[name];
    return now === undefined ? { state: at, effects: [] } : ask(at, now, nowMs);
  });

  function ask(at: InstanceState, now: Segment, atMs: number): Step {
    if (now.isAsking || atMs < now.retryMs) {
      return { state: at, effects: [] };
    }
    if (now.mustRead) {
      return readSegment(at, now, atMs);
    }
    const isIdempotent = job?.record.spec.isIdempotent ?? true;
    const isLeaving = at.isStopping || isOwnDataCentreOut(at);
    const intended = isIdempotent || isLeaving ? now : noteIntents(now);
    return isWriteDue(intended, atMs)
      ? writeSegment(at, intended, atMs)
      : { state: at, effects: [] };
  }
}

/** Turns a segment towards its end, or suspends it, where that is due. */
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
  if ((state.isStopping || isOwnDataCentreOut(state)) && isOwned) {
    return releaseSegment(state, segment, "HAND_BACK");
  }
  const isLapsed = nowMs - segment.confirmedMs >= JOBS.LAPSE_MS;
  if (phase === "owned" && isLapsed) {
    const suspended = advanceSegment(segment, "LAPSE");
    return {
      state: setSegment(state, { ...suspended, mustRead: true }),
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
  const name = buildSegmentKey(segment.jobId, segment.number);
  return chainStep(stopItems(state, segment, { isAll: false }), (at) => {
    const now = at.jobs.owned[name] ?? segment;
    return {
      state: setSegment(at, advanceSegment(now, event)),
      effects: [],
    };
  });
}

/** Marks the next items of a non-idempotent job for the coming write. */
function noteIntents(segment: Segment): Segment {
  const isOwned = segment.phase === "owned";
  const isSupplied =
    segment.items.includes(READY) || segment.items.includes(INTENDING);
  if (!isOwned || isSupplied) {
    return segment;
  }
  const offsets = segment.items
    .flatMap((item, offset) => (item === PENDING ? [offset] : []))
    .slice(0, JOBS.INTENT_ITEMS);
  const intents = offsets.reduce<Ranges>(addToRanges, segment.intents);
  const marked = offsets.reduce(
    (at, offset) => setItem(at, offset, "INTEND"),
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
  const { items, uncommitted, oldestMs, wroteMs } = segment;
  const sinceMs = nowMs - wroteMs;
  const isLate =
    oldestMs !== undefined && nowMs - oldestMs >= JOBS.CHECKPOINT_LATE_MS;
  const isFull =
    uncommitted >= JOBS.CHECKPOINT_ITEMS && sinceMs >= JOBS.CHECKPOINT_MS;
  const isEnded = uncommitted > 0 && items.every((item) => item >= STORED);
  const hasIntents = items.includes(INTENDING);
  return isLate || isFull || isEnded || hasIntents || sinceMs >= JOBS.RENEW_MS;
}
