import type { InstanceState, Step } from "../instance/types.ts";
import { setEntry } from "../shared/set_entry.ts";
import { LIMIT_TIMES } from "./limit_times.ts";
import type { Lender } from "./list_lenders.ts";
import type { PendingLoanRequest, WaitingOrder } from "./types.ts";

/** Asks a peer for the token that a request needs. */
export function requestLoan(
  state: InstanceState,
  {
    waiting,
    lender: { instanceId: to },
  }: {
    readonly waiting: WaitingOrder;
    readonly lender: Lender;
  },
  nowMs: number,
): Step {
  const { customer } = waiting.order;
  const askCount = state.shares.askCount + 1;
  const askId = `${state.self.incarnation}:${askCount}`;
  const forMs = chooseValidityMs(state.shares.roundTripsMs[to]);
  const ask: PendingLoanRequest = {
    ...waiting,
    askId,
    to,
    askedMs: nowMs,
    forMs,
    isQueued: false,
  };
  const asks = [...(state.asks[customer] ?? []), ask];
  const waitMs = waiting.untilMs - nowMs;
  return {
    state: {
      ...state,
      asks: setEntry(state.asks, customer, asks),
      shares: { ...state.shares, askCount },
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

/** As short as the round trip allows: a lender's cap is lower meanwhile. */
function chooseValidityMs(roundTripMs: number | undefined): number {
  const { LOAN_MS, FIRST_LOAN_MS, MIN_LOAN_MS, LOAN_ROUND_TRIPS } = LIMIT_TIMES;
  return roundTripMs === undefined
    ? FIRST_LOAN_MS
    : Math.min(LOAN_MS, MIN_LOAN_MS + LOAN_ROUND_TRIPS * roundTripMs);
}
