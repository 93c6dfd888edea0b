import type { InstanceId } from "../ids/types.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { setEntry } from "../shared/set_entry.ts";
import { findGroup } from "../shares/find_group.ts";
import { markGroupStale } from "../shares/mark_group_stale.ts";
import { admitWithToken } from "./admit_with_token.ts";
import { LIMIT_TIMES } from "./limit_times.ts";
import { locateToken } from "./locate_token.ts";
import { setLoanRequests } from "./set_loan_requests.ts";
import type { LoanAnswer, PeerLevel, PendingLoanRequest } from "./types.ts";

/**
 * Handles a peer's loan answer: admits the request, marks it as queued at the
 * peer, or locates a token elsewhere.
 */
export function handleLoanAnswer(
  state: InstanceState,
  { from, answer }: { readonly from: InstanceId; readonly answer: LoanAnswer },
  nowMs: number,
): Step {
  const { customer, askId, outcome } = answer;
  const requests = state.loanRequests[customer] ?? [];
  const request = requests.find((other) => other.askId === askId);
  if (request === undefined) {
    return { state, effects: [] };
  }
  const recorded = recordPeerLevel(state, { from, answer, request }, nowMs);
  if (outcome === "queued") {
    const queued = requests.map((other) =>
      other.askId === askId ? { ...other, isQueued: true } : other,
    );
    return { state: setLoanRequests(recorded, customer, queued), effects: [] };
  }
  const rest = requests.filter((other) => other.askId !== askId);
  const after = setLoanRequests(recorded, customer, rest);
  const isGranted =
    outcome === "granted" && !hasExpired(request, answer, nowMs);
  return isGranted
    ? admitWithToken(after, request.order, nowMs)
    : locateToken(
        after,
        { order: request.order, untilMs: request.untilMs },
        nowMs,
      );
}

/**
 * Returns whether the lender may already have restored its cap. The lender
 * granted the token no earlier than `heldMs` after the request was sent, so its
 * own expiry is later than the time computed here.
 */
function hasExpired(
  { requestedMs, forMs }: PendingLoanRequest,
  { heldMs }: LoanAnswer,
  nowMs: number,
): boolean {
  const grantedMs = requestedMs + heldMs * (1 - LIMIT_TIMES.CLOCK_DRIFT);
  return nowMs >= grantedMs + forMs;
}

function recordPeerLevel(
  state: InstanceState,
  {
    from,
    answer,
    request,
  }: {
    readonly from: InstanceId;
    readonly answer: LoanAnswer;
    readonly request: PendingLoanRequest;
  },
  nowMs: number,
): InstanceState {
  const { customer } = answer;
  const limit = state.limits[customer];
  if (limit === undefined) {
    return state;
  }
  const isClosed = answer.outcome === "closed";
  const level: PeerLevel = {
    tokens: answer.level,
    atMs: nowMs,
    unresponsiveUntilMs: isClosed
      ? nowMs + LIMIT_TIMES.UNRESPONSIVE_PEER_MS
      : 0,
  };
  const peerLevels = setEntry(limit.peerLevels, from, level);
  const limits = setEntry(state.limits, customer, {
    ...limit,
    peerLevels,
  });
  const known = findGroup(state, customer)?.version ?? 0;
  const roundTripMs = Math.max(0, nowMs - request.requestedMs - answer.heldMs);
  const roundTripsMs = setEntry(state.shares.roundTripsMs, from, roundTripMs);
  const after = {
    ...state,
    limits,
    shares: { ...state.shares, roundTripsMs },
  };
  return answer.version > known
    ? markGroupStale(after, customer, nowMs)
    : after;
}
