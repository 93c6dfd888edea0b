import { canStart } from "./can_start.ts";
import { WAITING } from "./constants.ts";
import { estimateStartMs } from "./estimate_start_ms.ts";
import type {
  Pace,
  ReturnPlan,
  WaitDecision,
  WaitingRequest,
  WaitingRoom,
} from "./types.ts";

type WaitContext = {
  readonly pace: Pace;
  /** Whether an upstream has a slot, as far as is known here. */
  readonly isOpen: boolean;
  readonly returns: ReturnPlan;
  readonly nowMs: number;
};

/**
 * Decides what becomes of a request that comes: it starts while this instance has
 * slots of its share left; it waits if it can start within its objective. One that
 * can't is refused at once if its caller can return by when it could, since it
 * would then be in time; otherwise it waits while it can be answered at all.
 */
export function decideWait(
  room: WaitingRoom,
  request: WaitingRequest,
  { pace, isOpen, returns, nowMs }: WaitContext,
): WaitDecision {
  if (room.count === 0 && isOpen && canStart(pace)) {
    return { kind: "start" };
  }
  // Callers that are overdue have given up, or returned to another instance.
  const due = returns.filter((atMs) => atMs > nowMs - WAITING.RETURN_GRACE_MS);
  const expectedMs = estimateStartMs(room, request, pace, due);
  const isFull =
    room.count >= WAITING.MAX_REQUESTS ||
    room.bytes + request.bytes > WAITING.MAX_BYTES;
  if (isFull) {
    return { kind: "refuse", reason: "full", expectedMs };
  }
  const startMs = nowMs + expectedMs;
  const longestMs = (request.startByMs - nowMs) * WAITING.EXPECTED_SHARE;
  if (expectedMs <= longestMs) {
    return { kind: "wait", expectedMs };
  }
  if (!request.isReturned && expectedMs <= request.maxReturnMs) {
    return { kind: "refuse", reason: "late", expectedMs };
  }
  return startMs <= request.endByMs
    ? { kind: "wait", expectedMs }
    : { kind: "refuse", reason: "hopeless", expectedMs };
}
