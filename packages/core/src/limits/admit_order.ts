import type { InstanceState, Step } from "../instance/types.ts";
import { canUseShares } from "../membership/can_use_shares.ts";
import { setEntry } from "../shared/set_entry.ts";
import { enqueueOrder } from "../work/enqueue_order.ts";
import type { WorkOrder } from "../work/types.ts";
import { admitWithToken } from "./admit_with_token.ts";
import { hasToken } from "./has_token.ts";
import { LIMIT_TIMES } from "./limit_times.ts";
import { locateToken } from "./locate_token.ts";
import { refillLimit } from "./refill_limit.ts";
import { takeToken } from "./take_token.ts";

/**
 * Admits an order immediately if this instance holds a token. Otherwise queues
 * it for a limited time if a token can become available here or at a peer, or
 * refuses it as not run.
 */
export function admitOrder(
  state: InstanceState,
  order: WorkOrder,
  nowMs: number,
): Step {
  const { customer } = order;
  const known = state.limits[customer];
  if (known === undefined) {
    return enqueueOrder(state, order, nowMs);
  }
  const arrived = known.arrived + 1;
  const limit = { ...refillLimit(known, nowMs), arrived };
  const hasNoQueue = state.tokenQueues[customer] === undefined;
  if (hasNoQueue && hasToken(limit) && canUseShares(state, nowMs)) {
    const limits = setEntry(state.limits, customer, takeToken(limit));
    return admitWithToken({ ...state, limits }, order, nowMs);
  }
  const limits = setEntry(state.limits, customer, limit);
  const untilMs = Math.min(nowMs + LIMIT_TIMES.MAX_WAIT_MS, order.deadlineMs);
  return locateToken({ ...state, limits }, { order, untilMs }, nowMs);
}
