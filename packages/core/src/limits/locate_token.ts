import type { InstanceState, Step } from "../instance/types.ts";
import { canUseShares } from "../membership/can_use_shares.ts";
import { setEntry } from "../shared/set_entry.ts";
import { findGroup } from "../shares/find_group.ts";
import { refuseOrder } from "../work/refuse_order.ts";
import { listLenders } from "./list_lenders.ts";
import { requestLoan } from "./request_loan.ts";
import type { Limit, TokenQueueEntry, WaitingOrder } from "./types.ts";

const MS_PER_SECOND = 1000;

/**
 * Queues a request where a token is expected first, at this instance or at a
 * peer, and refuses it if none is expected before its timeout. While the
 * division of the limit is unknown, the request waits here.
 */
export function locateToken(
  state: InstanceState,
  waitingOrder: WaitingOrder,
  nowMs: number,
): Step {
  const { customer } = waitingOrder.order;
  const limit = state.limits[customer];
  if (limit === undefined) {
    return refuseOrder(state, waitingOrder.order, {
      code: "rate_limited",
      message: "the customer has no limit any more",
    });
  }
  const queue = state.tokenQueues[customer] ?? [];
  const ownDelayMs = canUseShares(state, nowMs)
    ? measureOwnDelayMs(limit, queue)
    : Number.POSITIVE_INFINITY;
  const lender = listLenders(state, { customer, limit }, nowMs).at(0);
  const lenderDelayMs = lender?.delayMs ?? Number.POSITIVE_INFINITY;
  const delayMs = Math.min(ownDelayMs, lenderDelayMs);
  const isDivisionUnknown = (findGroup(state, customer)?.version ?? 0) === 0;
  if (isDivisionUnknown && nowMs < waitingOrder.untilMs) {
    return enqueueWaiting(state, { kind: "order", ...waitingOrder });
  }
  if (nowMs + delayMs > waitingOrder.untilMs) {
    return refuseOrder(state, waitingOrder.order, {
      code: "rate_limited",
      message: "the customer's rate is used up",
      retryAfterMs: Number.isFinite(delayMs)
        ? Math.ceil(delayMs)
        : Math.ceil(MS_PER_SECOND / limit.rate),
    });
  }
  return lender !== undefined && lenderDelayMs < ownDelayMs
    ? requestLoan(state, { waitingOrder, lender }, nowMs)
    : enqueueWaiting(state, { kind: "order", ...waitingOrder });
}

function measureOwnDelayMs(
  { bucket }: Limit,
  queue: readonly TokenQueueEntry[],
): number {
  const missing = queue.length + 1 - bucket.tokens;
  return bucket.cap < 1
    ? Number.POSITIVE_INFINITY
    : (missing / bucket.ratePerSecond) * MS_PER_SECOND;
}

function enqueueWaiting(
  state: InstanceState,
  entry: Extract<TokenQueueEntry, { kind: "order" }>,
): Step {
  const { customer } = entry.order;
  const queue = [...(state.tokenQueues[customer] ?? []), entry];
  return {
    state: {
      ...state,
      tokenQueues: setEntry(state.tokenQueues, customer, queue),
    },
    effects: [],
  };
}
