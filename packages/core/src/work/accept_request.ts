import { startClaim } from "../claims/start_claim.ts";
import { holdsKey } from "../config/holds_key.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { takeTokens } from "../limits/take_tokens.ts";
import type { Bucket } from "../limits/types.ts";
import { enqueueWork } from "../queue/enqueue_work.ts";
import { findQueueFault } from "../queue/find_queue_fault.ts";
import { noteArrival } from "../queue/note_arrival.ts";
import { setSharded } from "../sharded/set_sharded.ts";
import { setEntry } from "../shared/set_entry.ts";
import { setTimer } from "../timers/set_timer.ts";
import { RETRY_BOUNDS } from "./constants.ts";
import { createWork } from "./create_work.ts";
import type { Fault, WorkOrder } from "./types.ts";

const MS_PER_SECOND = 1000;

/** Admits an online request into the queue, or refuses it, "not run". */
export function acceptRequest(
  state: InstanceState,
  order: WorkOrder,
  nowMs: number,
): Step {
  if (state.isStopping && nowMs >= state.refuseFromMs) {
    return refuseOrder(state, order, {
      code: "stopping",
      message: "this instance is stopping",
    });
  }
  if (state.config !== undefined && !holdsKey(state.config.document, order)) {
    return refuseOrder(state, order, {
      code: "key_withdrawn",
      message: "the tenant key was withdrawn",
    });
  }
  const bucket = state.buckets[order.customer];
  if (bucket === undefined) {
    return enqueueOrder(state, order, nowMs);
  }
  const taken = takeTokens(bucket, 1, nowMs);
  const after = {
    ...state,
    buckets: setEntry(state.buckets, order.customer, taken.bucket),
  };
  return taken.isTaken
    ? enqueueOrder(after, order, nowMs)
    : refuseOrder(after, order, {
        code: "rate_limited",
        message: "the customer's rate is used up",
        retryAfterMs: measureWaitMs(taken.bucket),
      });
}

function enqueueOrder(
  state: InstanceState,
  order: WorkOrder,
  nowMs: number,
): Step {
  const reason = findQueueFault(state, order, nowMs);
  if (reason !== undefined) {
    return refuseOrder(state, order, reason);
  }
  const { workId, deadlineMs: dueMs } = order;
  const isClaimed = order.claimKey !== undefined && !order.isIdempotent;
  const created = createWork(order, { nowMs });
  const work = isClaimed ? { ...created, phase: "claiming" } : created;
  const works = setSharded(state.works, workId, work);
  const retryBudget = Math.min(
    RETRY_BOUNDS.MAX_RETRY_BUDGET,
    state.retryBudget + RETRY_BOUNDS.RETRIES_PER_REQUEST,
  );
  const arrived = noteArrival({ ...state, works, retryBudget }, order, nowMs);
  const timer = { kind: "deadline", dueMs, workId } as const;
  const timed = setTimer(arrived, timer);
  return isClaimed
    ? startClaim(timed, work, nowMs)
    : { state: enqueueWork(timed, work), effects: [] };
}

function refuseOrder(
  state: InstanceState,
  order: WorkOrder,
  why: {
    readonly code: Fault["code"];
    readonly message: string;
    readonly retryAfterMs?: number;
  },
): Step {
  const fault: Fault = {
    code: why.code,
    step: "admit",
    peer: state.self.instanceId,
    message: why.message,
  };
  const refusal = {
    fault,
    run: "not run",
    retryAfterMs: why.retryAfterMs,
  } as const;
  return {
    state,
    effects: [{ kind: "refuse-request", workId: order.workId, refusal }],
  };
}

function measureWaitMs(bucket: Bucket): number {
  const missing = Math.max(0, 1 - bucket.tokens);
  return Math.ceil((missing / bucket.ratePerSecond) * MS_PER_SECOND);
}
