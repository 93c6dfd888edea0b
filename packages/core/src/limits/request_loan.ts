import type { InstanceState, Step } from "../instance/types.ts";
import { setEntry } from "../shared/set_entry.ts";
import { LIMIT_TIMES } from "./limit_times.ts";
import type { Lender } from "./list_lenders.ts";
import type { PendingLoanRequest, WaitingOrder } from "./types.ts";

/** Requests a token from a peer on behalf of a waiting request. */
export function requestLoan(
  state: InstanceState,
  {
    waitingOrder,
    lender: { instanceId: to },
  }: {
    readonly waitingOrder: WaitingOrder;
    readonly lender: Lender;
  },
  nowMs: number,
): Step {
  const { customer } = waitingOrder.order;
  const loanRequestCount = state.shares.loanRequestCount + 1;
  const askId = `${state.self.incarnation}:${loanRequestCount}`;
  const forMs = chooseValidityMs(state.shares.roundTripsMs[to]);
  const request: PendingLoanRequest = {
    ...waitingOrder,
    askId,
    to,
    requestedMs: nowMs,
    forMs,
    isQueued: false,
  };
  const requests = [...(state.loanRequests[customer] ?? []), request];
  const waitMs = waitingOrder.untilMs - nowMs;
  return {
    state: {
      ...state,
      loanRequests: setEntry(state.loanRequests, customer, requests),
      shares: { ...state.shares, loanRequestCount },
    },
    effects: [
      {
        kind: "send-peer",
        to,
        message: { kind: "loan-asked", askId, customer, waitMs, forMs },
      },
    ],
  };
}

/**
 * Chooses a validity as short as the round trip allows, since the lender's cap
 * stays reduced for that time.
 */
function chooseValidityMs(roundTripMs: number | undefined): number {
  const { MAX_LOAN_MS, INITIAL_LOAN_MS, MIN_LOAN_MS, LOAN_ROUND_TRIPS } =
    LIMIT_TIMES;
  return roundTripMs === undefined
    ? INITIAL_LOAN_MS
    : Math.min(MAX_LOAN_MS, MIN_LOAN_MS + LOAN_ROUND_TRIPS * roundTripMs);
}
