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

/** Grants, queues or immediately refuses a peer's loan request. */
export function handleLoanRequest(
  state: InstanceState,
  {
    from,
    ask: request,
  }: { readonly from: InstanceId; readonly ask: LoanAsked },
  nowMs: number,
): Step {
  const { customer, waitMs } = request;
  const known = state.limits[customer];
  const limit = known && refillLimit(known, nowMs);
  const canLend = canSpend(state, nowMs) && !state.isStopping;
  if (limit === undefined || !canLend) {
    return answerLoanRequest(state, { from, request }, "closed");
  }
  const limits = setEntry(state.limits, customer, limit);
  const refilled: InstanceState = { ...state, limits };
  const queue = state.waiting[customer] ?? [];
  if (queue.length === 0 && hasToken(limit)) {
    const receivedMs = nowMs;
    return grantLoan(refilled, { from, request, limit, receivedMs }, nowMs);
  }
  if (measureDelayMs(limit, queue) > waitMs) {
    return answerLoanRequest(refilled, { from, request }, "refused");
  }
  const entry: Waiting = {
    kind: "ask",
    from,
    request,
    receivedMs: nowMs,
    untilMs: nowMs + waitMs,
  };
  const queues = setEntry(state.waiting, customer, [...queue, entry]);
  return answerLoanRequest(
    { ...refilled, waiting: queues },
    { from, request },
    "queued",
  );
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

function answerLoanRequest(
  state: InstanceState,
  received: { readonly from: InstanceId; readonly request: LoanAsked },
  outcome: LoanAnswered["outcome"],
): Step {
  return {
    state,
    effects: [buildLoanAnswer(state, received, { outcome, heldMs: 0 })],
  };
}
