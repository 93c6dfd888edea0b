import { chainAll } from "../instance/chain_all.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { canSpend } from "../membership/can_spend.ts";
import { dropEntry } from "../shared/drop_entry.ts";
import { setEntry } from "../shared/set_entry.ts";
import { locateToken } from "./locate_token.ts";

/**
 * Locates tokens elsewhere for requests that wait here while this instance
 * can't admit them from its own share, as after a start or while it is fenced.
 */
export function moveWaitingOrders(
  state: InstanceState,
  customer: string,
  nowMs: number,
): Step {
  const queue = state.waiting[customer] ?? [];
  const limit = state.limits[customer];
  const orders = queue.filter((entry) => entry.kind === "order");
  const canServe =
    limit !== undefined &&
    limit.share.burst * limit.burst >= 1 &&
    canSpend(state, nowMs);
  if (canServe || orders.length === 0) {
    return { state, effects: [] };
  }
  const rest = queue.filter((entry) => entry.kind === "ask");
  const remainingQueues =
    rest.length === 0
      ? dropEntry(state.waiting, customer)
      : setEntry(state.waiting, customer, rest);
  return chainAll(
    { ...state, waiting: remainingQueues },
    orders,
    (current, { order, untilMs }) =>
      locateToken(current, { order, untilMs }, nowMs),
  );
}
