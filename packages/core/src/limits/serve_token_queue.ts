import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { canUseShares } from "../membership/can_use_shares.ts";
import { dropEntry } from "../shared/drop_entry.ts";
import { setEntry } from "../shared/set_entry.ts";
import { refuseOrder } from "../work/refuse_order.ts";
import { admitWithToken } from "./admit_with_token.ts";
import { buildLoanAnswer } from "./build_loan_answer.ts";
import { grantLoan } from "./grant_loan.ts";
import { hasToken } from "./has_token.ts";
import { refillLimit } from "./refill_limit.ts";
import { takeToken } from "./take_token.ts";
import type { TokenQueueEntry } from "./types.ts";

const MS_PER_SECOND = 1000;

/**
 * Serves a customer's token queue in order of arrival, and refuses entries
 * whose waiting time has expired.
 */
export function serveTokenQueue(
  state: InstanceState,
  customer: string,
  nowMs: number,
): Step {
  const known = state.limits[customer];
  const queue = state.tokenQueues[customer] ?? [];
  const [first] = queue;
  if (first === undefined || known === undefined) {
    const remainingQueues = dropEntry(state.tokenQueues, customer);
    return { state: { ...state, tokenQueues: remainingQueues }, effects: [] };
  }
  const limit = refillLimit(known, nowMs);
  const canServe = canUseShares(state, nowMs) && hasToken(limit);
  const isExpired = first.untilMs <= nowMs;
  if (!canServe && !isExpired) {
    return { state, effects: [] };
  }
  const after: InstanceState = {
    ...state,
    limits: setEntry(state.limits, customer, limit),
    tokenQueues: setEntry(state.tokenQueues, customer, queue.slice(1)),
  };
  const step = isExpired
    ? endExpiredEntry(after, customer, first)
    : serveFirstEntry(after, { customer, first }, nowMs);
  return chainStep(step, (current) =>
    serveTokenQueue(current, customer, nowMs),
  );
}

function serveFirstEntry(
  state: InstanceState,
  {
    customer,
    first,
  }: { readonly customer: string; readonly first: TokenQueueEntry },
  nowMs: number,
): Step {
  const limit = state.limits[customer];
  if (limit === undefined) {
    return { state, effects: [] };
  }
  if (first.kind === "ask") {
    return grantLoan(state, { ...first, limit }, nowMs);
  }
  const limits = setEntry(state.limits, customer, takeToken(limit));
  return admitWithToken({ ...state, limits }, first.order, nowMs);
}

function endExpiredEntry(
  state: InstanceState,
  customer: string,
  expired: TokenQueueEntry,
): Step {
  if (expired.kind === "ask") {
    const outcome = { outcome: "refused", heldMs: 0 } as const;
    return { state, effects: [buildLoanAnswer(state, expired, outcome)] };
  }
  const rate = state.limits[customer]?.rate ?? 1;
  return refuseOrder(state, expired.order, {
    code: "rate_limited",
    message: "the customer's rate is used up",
    retryAfterMs: Math.ceil(MS_PER_SECOND / rate),
  });
}
