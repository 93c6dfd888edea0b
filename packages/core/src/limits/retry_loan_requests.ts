import { chainAll } from "../instance/chain_all.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { setEntry } from "../shared/set_entry.ts";
import { LIMIT_TIMES } from "./limit_times.ts";
import { locateToken } from "./locate_token.ts";
import { setLoanRequests } from "./set_loan_requests.ts";
import type { PeerLevel, PendingLoanRequest } from "./types.ts";

/**
 * Takes peers without an answer for lost and looks on for their requests;
 * ends those that wait at a peer for too long.
 */
export function retryLoanRequests(
  state: InstanceState,
  customer: string,
  nowMs: number,
): Step {
  const asks = state.asks[customer] ?? [];
  const late = asks.filter((ask) => isLate(ask, nowMs));
  if (late.length === 0) {
    return { state, effects: [] };
  }
  const open = asks.filter((ask) => !late.includes(ask));
  const silent = late.filter(({ isQueued }) => !isQueued);
  const after = setLoanRequests(
    noteSilent(state, { customer, silent }, nowMs),
    customer,
    open,
  );
  return chainAll(after, late, (at, { order, untilMs }) =>
    locateToken(at, { order, untilMs }, nowMs),
  );
}

function isLate(
  { isQueued, askedMs, forMs, untilMs }: PendingLoanRequest,
  nowMs: number,
): boolean {
  return isQueued ? untilMs + forMs <= nowMs : askedMs + forMs <= nowMs;
}

function noteSilent(
  state: InstanceState,
  {
    customer,
    silent,
  }: {
    readonly customer: string;
    readonly silent: readonly PendingLoanRequest[];
  },
  nowMs: number,
): InstanceState {
  const limit = state.limits[customer];
  if (limit === undefined || silent.length === 0) {
    return state;
  }
  const level: PeerLevel = {
    tokens: 0,
    atMs: nowMs,
    silentUntilMs: nowMs + LIMIT_TIMES.SILENT_PEER_MS,
  };
  const lost = Object.fromEntries(silent.map(({ to }) => [to, level]));
  const levels = { ...limit.levels, ...lost };
  const limits = setEntry(state.limits, customer, { ...limit, levels });
  return { ...state, limits };
}
