import type { InstanceId } from "../ids/types.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { canSpend } from "../membership/can_spend.ts";
import { setEntry } from "../shared/set_entry.ts";
import { buildLoanAnswer } from "./build_loan_answer.ts";
import { grantLoan } from "./grant_loan.ts";
import { hasToken } from "./has_token.ts";
import { refillLimit } from "./refill_limit.ts";
import type { Limit, LoanAnswered, LoanAsked, Waiting } from "./types.ts";

const MS_PER_SECOND = 1000;

/** Grants a peer's ask, queues it, or refuses it at once. */
export function handleLoanRequest(
  state: InstanceState,
  { from, ask }: { readonly from: InstanceId; readonly ask: LoanAsked },
  nowMs: number,
): Step {
  const { customer, waitMs } = ask;
  const known = state.limits[customer];
  const limit = known && refillLimit(known, nowMs);
  const isOpen = canSpend(state, nowMs) && !state.isStopping;
  if (limit === undefined || !isOpen) {
    return answerNow(state, { from, ask }, "closed");
  }
  const limits = setEntry(state.limits, customer, limit);
  const refilled: InstanceState = { ...state, limits };
  const queue = state.waiting[customer] ?? [];
  if (queue.length === 0 && hasToken(limit)) {
    const receivedMs = nowMs;
    return grantLoan(refilled, { from, ask, limit, receivedMs }, nowMs);
  }
  if (measureDelayMs(limit, queue) > waitMs) {
    return answerNow(refilled, { from, ask }, "refused");
  }
  const waiting: Waiting = {
    kind: "ask",
    from,
    ask,
    receivedMs: nowMs,
    untilMs: nowMs + waitMs,
  };
  const queued = setEntry(state.waiting, customer, [...queue, waiting]);
  return answerNow({ ...refilled, waiting: queued }, { from, ask }, "queued");
}

function measureDelayMs(
  { bucket, share, burst }: Limit,
  queue: readonly Waiting[],
): number {
  const missing = queue.length + 1 - bucket.tokens;
  return share.burst * burst < 1
    ? Number.POSITIVE_INFINITY
    : (missing / bucket.ratePerSecond) * MS_PER_SECOND;
}

function answerNow(
  state: InstanceState,
  asked: { readonly from: InstanceId; readonly ask: LoanAsked },
  outcome: LoanAnswered["outcome"],
): Step {
  return {
    state,
    effects: [buildLoanAnswer(state, asked, { outcome, heldMs: 0 })],
  };
}
