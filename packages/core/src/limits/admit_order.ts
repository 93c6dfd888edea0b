import type { InstanceState, Step } from "../instance/types.ts";
import { canSpend } from "../membership/can_spend.ts";
import { setEntry } from "../shared/set_entry.ts";
import { enqueueOrder } from "../work/enqueue_order.ts";
import type { WorkOrder } from "../work/types.ts";
import { admitHeld } from "./admit_held.ts";
import { hasToken } from "./has_token.ts";
import { LIMIT_TIMES } from "./limit_times.ts";
import { locateToken } from "./locate_token.ts";
import { refillLimit } from "./refill_limit.ts";
import { takeToken } from "./take_token.ts";

/**
 * Admits an order at once where this instance holds a token; lets it wait a
 * short while where a token is in reach; refuses it otherwise, "not run".
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
  const isFree = state.waiting[customer] === undefined;
  if (isFree && hasToken(limit) && canSpend(state, nowMs)) {
    const limits = setEntry(state.limits, customer, takeToken(limit));
    return admitHeld({ ...state, limits }, order, nowMs);
  }
  const limits = setEntry(state.limits, customer, limit);
  const untilMs = Math.min(nowMs + LIMIT_TIMES.WAIT_MS, order.deadlineMs);
  return locateToken({ ...state, limits }, { order, untilMs }, nowMs);
}
