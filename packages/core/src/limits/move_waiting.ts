import { chainAll } from "../instance/chain_all.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { canSpend } from "../membership/can_spend.ts";
import { dropEntry } from "../shared/drop_entry.ts";
import { setEntry } from "../shared/set_entry.ts";
import { locateToken } from "./locate_token.ts";

/**
 * Looks on for requests that wait here while this instance holds no share
 * that could admit them, as at its start or behind its fence.
 */
export function moveWaiting(
  state: InstanceState,
  customer: string,
  nowMs: number,
): Step {
  const queue = state.waiting[customer] ?? [];
  const limit = state.limits[customer];
  const orders = queue.filter((one) => one.kind === "order");
  const canServe =
    limit !== undefined &&
    limit.share.burst * limit.burst >= 1 &&
    canSpend(state, nowMs);
  if (canServe || orders.length === 0) {
    return { state, effects: [] };
  }
  const rest = queue.filter((one) => one.kind === "ask");
  const waiting =
    rest.length === 0
      ? dropEntry(state.waiting, customer)
      : setEntry(state.waiting, customer, rest);
  return chainAll({ ...state, waiting }, orders, (at, { order, untilMs }) =>
    locateToken(at, { order, untilMs }, nowMs),
  );
}
