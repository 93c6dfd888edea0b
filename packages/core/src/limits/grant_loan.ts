import type { InstanceId } from "../ids/types.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { setEntry } from "../shared/set_entry.ts";
import { buildLoanAnswer } from "./build_loan_answer.ts";
import { LIMIT_TIMES } from "./limit_times.ts";
import { takeToken } from "./take_token.ts";
import type { Limit, LoanRequest } from "./types.ts";

/**
 * Lends a token of the base share. The token is subtracted before the answer is
 * sent, and the cap stays reduced until the borrower can no longer spend it.
 */
export function grantLoan(
  state: InstanceState,
  {
    from,
    request,
    limit,
    receivedMs,
  }: {
    readonly from: InstanceId;
    readonly request: LoanRequest;
    readonly limit: Limit;
    readonly receivedMs: number;
  },
  nowMs: number,
): Step {
  const { bucket, ...rest } = takeToken(limit);
  const forMs = Math.min(request.forMs, LIMIT_TIMES.MAX_LOAN_MS);
  const untilMs = nowMs + forMs * (1 + LIMIT_TIMES.CLOCK_DRIFT);
  const lender: Limit = {
    ...rest,
    bucket: { ...bucket, cap: bucket.cap - 1 },
    loans: [...limit.loans, { tokens: 1, untilMs }],
  };
  const limits = setEntry(state.limits, request.customer, lender);
  const after: InstanceState = { ...state, limits };
  const heldMs = nowMs - receivedMs;
  const outcome = "granted";
  return {
    state: after,
    effects: [buildLoanAnswer(after, { from, request }, { outcome, heldMs })],
  };
}
