import type { InstanceId } from "../ids/types.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { setEntry } from "../shared/set_entry.ts";
import { findGroup } from "../shares/find_group.ts";
import { markGroupStale } from "../shares/mark_group_stale.ts";
import { admitHeld } from "./admit_held.ts";
import { LIMIT_TIMES } from "./limit_times.ts";
import { locateToken } from "./locate_token.ts";
import { setLoanRequests } from "./set_loan_requests.ts";
import type { LoanAnswered, PeerLevel, PendingLoanRequest } from "./types.ts";

/** Takes a peer's answer: admits the request, lets it wait, or looks on. */
export function handleLoanAnswer(
  state: InstanceState,
  { from, loan }: { readonly from: InstanceId; readonly loan: LoanAnswered },
  nowMs: number,
): Step {
  const { customer, askId, outcome } = loan;
  const asks = state.asks[customer] ?? [];
  const ask = asks.find((one) => one.askId === askId);
  if (ask === undefined) {
    return { state, effects: [] };
  }
  const noted = noteLevel(state, { from, loan, ask }, nowMs);
  if (outcome === "queued") {
    const queued = asks.map((one) =>
      one.askId === askId ? { ...one, isQueued: true } : one,
    );
    return { state: setLoanRequests(noted, customer, queued), effects: [] };
  }
  const rest = asks.filter((one) => one.askId !== askId);
  const after = setLoanRequests(noted, customer, rest);
  const isGranted = outcome === "granted" && !isLapsed(ask, loan, nowMs);
  return isGranted
    ? admitHeld(after, ask.order, nowMs)
    : locateToken(after, { order: ask.order, untilMs: ask.untilMs }, nowMs);
}

/**
 * Whether the lender's cap may have risen again. The lender granted no
 * earlier than `heldMs` after the ask, so its wait ends later than this.
 */
function isLapsed(
  { askedMs, forMs }: PendingLoanRequest,
  { heldMs }: LoanAnswered,
  nowMs: number,
): boolean {
  const grantedMs = askedMs + heldMs * (1 - LIMIT_TIMES.CLOCK_DRIFT);
  return nowMs >= grantedMs + forMs;
}

function noteLevel(
  state: InstanceState,
  {
    from,
    loan,
    ask,
  }: {
    readonly from: InstanceId;
    readonly loan: LoanAnswered;
    readonly ask: PendingLoanRequest;
  },
  nowMs: number,
): InstanceState {
  const { customer } = loan;
  const limit = state.limits[customer];
  if (limit === undefined) {
    return state;
  }
  const isClosed = loan.outcome === "closed";
  const level: PeerLevel = {
    tokens: loan.level,
    atMs: nowMs,
    silentUntilMs: isClosed ? nowMs + LIMIT_TIMES.SILENT_PEER_MS : 0,
  };
  const levels = setEntry(limit.levels, from, level);
  const limits = setEntry(state.limits, customer, { ...limit, levels });
  const known = findGroup(state, customer)?.version ?? 0;
  const roundTripMs = Math.max(0, nowMs - ask.askedMs - loan.heldMs);
  const roundTripsMs = setEntry(state.shares.roundTripsMs, from, roundTripMs);
  const after = {
    ...state,
    limits,
    shares: { ...state.shares, roundTripsMs },
  };
  return loan.version > known ? markGroupStale(after, customer, nowMs) : after;
}
