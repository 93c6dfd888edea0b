import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { canSpend } from "../membership/can_spend.ts";
import { dropEntry } from "../shared/drop_entry.ts";
import { setEntry } from "../shared/set_entry.ts";
import { refuseOrder } from "../work/refuse_order.ts";
import { admitHeld } from "./admit_held.ts";
import { buildLoanAnswer } from "./build_loan_answer.ts";
import { grantLoan } from "./grant_loan.ts";
import { hasToken } from "./has_token.ts";
import { refillLimit } from "./refill_limit.ts";
import { takeToken } from "./take_token.ts";
import type { Waiting } from "./types.ts";

const MS_PER_SECOND = 1000;

/**
 * Serves what waits for a customer's tokens here, first come first, and ends
 * what has waited long enough.
 */
export function settleWaiting(
  state: InstanceState,
  customer: string,
  nowMs: number,
): Step {
  const known = state.limits[customer];
  const queue = state.waiting[customer] ?? [];
  const [first] = queue;
  if (first === undefined || known === undefined) {
    const waiting = dropEntry(state.waiting, customer);
    return { state: { ...state, waiting }, effects: [] };
  }
  const limit = refillLimit(known, nowMs);
  const isServed = canSpend(state, nowMs) && hasToken(limit);
  const isLate = first.untilMs <= nowMs;
  if (!isServed && !isLate) {
    return { state, effects: [] };
  }
  const after: InstanceState = {
    ...state,
    limits: setEntry(state.limits, customer, limit),
    waiting: setEntry(state.waiting, customer, queue.slice(1)),
  };
  const step = isLate
    ? endLate(after, customer, first)
    : serveFirst(after, { customer, first }, nowMs);
  return chainStep(step, (at) => settleWaiting(at, customer, nowMs));
}

function serveFirst(
  state: InstanceState,
  { customer, first }: { readonly customer: string; readonly first: Waiting },
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
  return admitHeld({ ...state, limits }, first.order, nowMs);
}

function endLate(state: InstanceState, customer: string, late: Waiting): Step {
  if (late.kind === "ask") {
    const outcome = { outcome: "refused", heldMs: 0 } as const;
    return { state, effects: [buildLoanAnswer(state, late, outcome)] };
  }
  const rate = state.limits[customer]?.rate ?? 1;
  return refuseOrder(state, late.order, {
    code: "rate_limited",
    message: "the customer's rate is used up",
    retryAfterMs: Math.ceil(MS_PER_SECOND / rate),
  });
}
