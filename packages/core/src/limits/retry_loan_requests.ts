import { chainAll } from "../instance/chain_all.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { setEntry } from "../shared/set_entry.ts";
import { LIMIT_TIMES } from "./limit_times.ts";
import { locateToken } from "./locate_token.ts";
import { setLoanRequests } from "./set_loan_requests.ts";
import type { PeerLevel, PendingLoanRequest } from "./types.ts";

/**
 * Marks peers that did not answer in time as unresponsive and relocates the
 * requests sent to them, along with requests queued at a peer for too long.
 */
export function retryLoanRequests(
  state: InstanceState,
  customer: string,
  nowMs: number,
): Step {
  const requests = state.loanRequests[customer] ?? [];
  const expired = requests.filter((request) => isExpired(request, nowMs));
  if (expired.length === 0) {
    return { state, effects: [] };
  }
  const pending = requests.filter((request) => !expired.includes(request));
  const unanswered = expired.filter(({ isQueued }) => !isQueued);
  const after = setLoanRequests(
    markPeersUnresponsive(state, { customer, silent: unanswered }, nowMs),
    customer,
    pending,
  );
  return chainAll(after, expired, (current, { order, untilMs }) =>
    locateToken(current, { order, untilMs }, nowMs),
  );
}

function isExpired(
  { isQueued, requestedMs, forMs, untilMs }: PendingLoanRequest,
  nowMs: number,
): boolean {
  return isQueued ? untilMs + forMs <= nowMs : requestedMs + forMs <= nowMs;
}

function markPeersUnresponsive(
  state: InstanceState,
  {
    customer,
    silent: unanswered,
  }: {
    readonly customer: string;
    readonly silent: readonly PendingLoanRequest[];
  },
  nowMs: number,
): InstanceState {
  const limit = state.limits[customer];
  if (limit === undefined || unanswered.length === 0) {
    return state;
  }
  const level: PeerLevel = {
    tokens: 0,
    atMs: nowMs,
    unresponsiveUntilMs: nowMs + LIMIT_TIMES.UNRESPONSIVE_PEER_MS,
  };
  const unresponsive = Object.fromEntries(
    unanswered.map(({ to }) => [to, level]),
  );
  const peerLevels = { ...limit.peerLevels, ...unresponsive };
  const limits = setEntry(state.limits, customer, {
    ...limit,
    peerLevels,
  });
  return { ...state, limits };
}
