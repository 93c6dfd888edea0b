import type { InstanceState, Step } from "../instance/types.ts";
import type { Work, WorkEnd, WorkOrigin } from "../work/types.ts";
import { JOBS } from "./constants.ts";
import { findSegmentOf } from "./find_segment_of.ts";
import { ITEM_STATES } from "./item_states.ts";
import { returnItem } from "./return_item.ts";
import { setItem } from "./set_item.ts";
import { setSegment } from "./set_segment.ts";
import { storeItem } from "./store_item.ts";
import type { ItemResult, Segment } from "./types.ts";

type ItemOrigin = Extract<WorkOrigin, { kind: "item" }>;

/**
 * Sends an item's end to storage, or puts it back to be tried again. A late
 * owner's item is dropped.
 */
export function finishItem(
  state: InstanceState,
  {
    origin,
    work,
    end,
  }: {
    readonly origin: ItemOrigin;
    readonly work: Work;
    readonly end: WorkEnd;
  },
): Step {
  const segment = findSegmentOf(state, origin);
  const offset = origin.index - (segment?.first ?? 0);
  const isRunning = segment?.items[offset] === ITEM_STATES.RUNNING;
  if (segment === undefined || !isRunning) {
    return { state, effects: [] };
  }
  if (end.kind === "refused" && end.refusal.run === "not run") {
    return { state: returnUnrun(state, segment, origin), effects: [] };
  }
  const attemptId =
    end.kind === "answered" ? work.attempt?.attemptId : undefined;
  const result = describeEnd(end);
  const ended = setItem(segment, offset, "END");
  return storeItem(state, ended, { offset, attemptId, result });
}

/** An item that surely did not run waits, and has its tries again. */
function returnUnrun(
  state: InstanceState,
  segment: Segment,
  origin: ItemOrigin,
): InstanceState {
  const pauseUntilMs = state.jobs.tickMs + JOBS.BACKOFF_MS;
  const paused = setSegment(state, { ...segment, pauseUntilMs });
  return returnItem(paused, origin, 0);
}

function describeEnd(end: WorkEnd): ItemResult {
  if (end.kind === "answered") {
    return { kind: "answer", status: end.outcome.status };
  }
  const { fault, run } = end.refusal;
  return {
    kind: "error",
    code: run === "may have run" ? "may_have_run" : fault.code,
    message: `${fault.code}: ${fault.message}`,
  };
}
