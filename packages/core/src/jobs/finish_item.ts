import type { InstanceState, Step } from "../instance/types.ts";
import type { Work, WorkEnd, WorkOrigin } from "../work/types.ts";
import { JOBS } from "./constants.ts";
import { findOwnedSegment } from "./find_owned_segment.ts";
import { ITEM_STATES } from "./item_states.ts";
import { retryItem } from "./retry_item.ts";
import { setItem } from "./set_item.ts";
import { setSegment } from "./set_segment.ts";
import { storeResult } from "./store_result.ts";
import type { ItemResult, Segment } from "./types.ts";

type ItemOrigin = Extract<WorkOrigin, { kind: "item" }>;

/**
 * Stores the result of an item, or returns the item to its segment for another
 * attempt. Ignores items of segments that this instance no longer owns.
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
  const segment = findOwnedSegment(state, origin);
  const offset = origin.index - (segment?.first ?? 0);
  const isRunning = segment?.items[offset] === ITEM_STATES.RUNNING;
  if (segment === undefined || !isRunning) {
    return { state, effects: [] };
  }
  if (end.kind === "refused" && end.refusal.run === "not run") {
    return { state: retryUnstartedItem(state, segment, origin), effects: [] };
  }
  const attemptId =
    end.kind === "answered" ? work.attempt?.attemptId : undefined;
  const result = buildItemResult(end);
  const ended = setItem(segment, offset, "END");
  return storeResult(state, ended, { offset, attemptId, result });
}

/**
 * Pauses the segment and resets the attempt count of an item that did not run.
 */
function retryUnstartedItem(
  state: InstanceState,
  segment: Segment,
  origin: ItemOrigin,
): InstanceState {
  const pausedUntilMs = state.jobs.lastTickAtMs + JOBS.ITEM_BACKOFF_MS;
  const paused = setSegment(state, { ...segment, pausedUntilMs });
  return retryItem(paused, origin, 0);
}

function buildItemResult(end: WorkEnd): ItemResult {
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
