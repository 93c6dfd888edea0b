import type { InstanceState } from "../instance/types.ts";
import type { WorkOrder } from "../work/types.ts";
import type { TokenQueueEntry } from "./types.ts";

/** Removes the requests that wait for a token and match `isDropped`. */
export function dropWaitingOrders(
  state: InstanceState,
  isDropped: (order: WorkOrder) => boolean,
): {
  readonly state: InstanceState;
  readonly dropped: readonly WorkOrder[];
} {
  const isDroppedEntry = (entry: TokenQueueEntry): boolean =>
    entry.kind === "order" && isDropped(entry.order);
  const waitingHere = Object.values(state.tokenQueues)
    .flat()
    .flatMap((entry) => (entry.kind === "order" ? [entry.order] : []));
  const waitingAtPeers = Object.values(state.loanRequests)
    .flat()
    .map(({ order }) => order);
  const dropped = [...waitingHere, ...waitingAtPeers].filter(isDropped);
  if (dropped.length === 0) {
    return { state, dropped };
  }
  const remainingQueues = Object.fromEntries(
    Object.entries(state.tokenQueues).map(([customer, queue]) => [
      customer,
      queue.filter((entry) => !isDroppedEntry(entry)),
    ]),
  );
  const remainingRequests = Object.fromEntries(
    Object.entries(state.loanRequests).map(([customer, pending]) => [
      customer,
      pending.filter(({ order }) => !isDropped(order)),
    ]),
  );
  return {
    state: {
      ...state,
      tokenQueues: remainingQueues,
      loanRequests: remainingRequests,
    },
    dropped,
  };
}
