import { startClaim } from "../claims/start_claim.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { enqueueWork } from "../queue/enqueue_work.ts";
import { findQueueFault } from "../queue/find_queue_fault.ts";
import { recordArrival } from "../queue/record_arrival.ts";
import { setSharded } from "../sharded/set_sharded.ts";
import { setTimer } from "../timers/set_timer.ts";
import { RETRY_BOUNDS } from "./constants.ts";
import { createWork } from "./create_work.ts";
import { refuseOrder } from "./refuse_order.ts";
import type { WorkOrder } from "./types.ts";

/**
 * Queues an admitted order. A non-idempotent order with a claim key is queued
 * only after its claim is granted.
 */
export function enqueueOrder(
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
  const arrived = recordArrival({ ...state, works, retryBudget }, order, nowMs);
  const timer = { kind: "deadline", dueMs, workId } as const;
  const timed = setTimer(arrived, timer);
  return isClaimed
    ? startClaim(timed, work, nowMs)
    : { state: enqueueWork(timed, work), effects: [] };
}
