import type { InstanceId } from "../ids/types.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { canUseShares } from "../membership/can_use_shares.ts";
import { setEntry } from "../shared/set_entry.ts";
import { buildLoanAnswer } from "./build_loan_answer.ts";
import { grantLoan } from "./grant_loan.ts";
import { hasToken } from "./has_token.ts";
import { refillLimit } from "./refill_limit.ts";
import type {
  Limit,
  LoanAnswer,
  LoanRequest,
  TokenQueueEntry,
} from "./types.ts";

const MS_PER_SECOND = 1000;

/** Grants, queues or immediately refuses a peer's loan request. */
export function handleLoanRequest(
  state: InstanceState,
  {
    from,
    request,
  }: { readonly from: InstanceId; readonly request: LoanRequest },
  nowMs: number,
): Step {
  const { customer, waitMs } = request;
  const known = state.limits[customer];
  const limit = known && refillLimit(known, nowMs);
  const canLend = canUseShares(state, nowMs) && !state.isStopping;
  if (limit === undefined || !canLend) {
    return answerLoanRequest(state, { from, request }, "closed");
  }
  const limits = setEntry(state.limits, customer, limit);
  const refilled: InstanceState = { ...state, limits };
  const queue = state.tokenQueues[customer] ?? [];
  if (queue.length === 0 && hasToken(limit)) {
    const receivedMs = nowMs;
    return grantLoan(refilled, { from, request, limit, receivedMs }, nowMs);
  }
  if (measureDelayMs(limit, queue) > waitMs) {
    return answerLoanRequest(refilled, { from, request }, "refused");
  }
  const entry: TokenQueueEntry = {
    kind: "ask",
    from,
    request,
    receivedMs: nowMs,
    untilMs: nowMs + waitMs,
  };
  const queues = setEntry(state.tokenQueues, customer, [...queue, entry]);
  return answerLoanRequest(
    { ...refilled, tokenQueues: queues },
    { from, request },
    "queued",
  );
}

function measureDelayMs(
  { bucket, share, burst }: Limit,
  queue: readonly TokenQueueEntry[],
): number {
  const missing = queue.length + 1 - bucket.tokens;
  return share.burst * burst < 1
    ? Number.POSITIVE_INFINITY
    : (missing / bucket.ratePerSecond) * MS_PER_SECOND;
}

function answerLoanRequest(
  state: InstanceState,
  received: { readonly from: InstanceId; readonly request: LoanRequest },
  outcome: LoanAnswer["outcome"],
): Step {
  return {
    state,
    effects: [buildLoanAnswer(state, received, { outcome, heldMs: 0 })],
  };
}
