import { chainAll } from "../instance/chain_all.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { canUseShares } from "../membership/can_use_shares.ts";
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
  const queue = state.tokenQueues[customer] ?? [];
  const limit = state.limits[customer];
  const orders = queue.filter((entry) => entry.kind === "order");
  const canServe =
    limit !== undefined &&
    limit.share.burst * limit.burst >= 1 &&
    canUseShares(state, nowMs);
  if (canServe || orders.length === 0) {
    return { state, effects: [] };
  }
  const rest = queue.filter((entry) => entry.kind === "ask");
  const remainingQueues =
    rest.length === 0
      ? dropEntry(state.tokenQueues, customer)
      : setEntry(state.tokenQueues, customer, rest);
  return chainAll(
    { ...state, tokenQueues: remainingQueues },
    orders,
    (current, { order, untilMs }) =>
      locateToken(current, { order, untilMs }, nowMs),
  );
}
