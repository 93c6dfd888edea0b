import type { InstanceState } from "../instance/types.ts";
import type { WorkOrder } from "../work/types.ts";
import type { Waiting } from "./types.ts";

/** Removes the requests that wait for a token and match `isDropped`. */
export function dropWaiting(
  state: InstanceState,
  isDropped: (order: WorkOrder) => boolean,
): {
  readonly state: InstanceState;
  readonly dropped: readonly WorkOrder[];
} {
  const isDroppedEntry = (entry: Waiting): boolean =>
    entry.kind === "order" && isDropped(entry.order);
  const waitingHere = Object.values(state.waiting)
    .flat()
    .flatMap((entry) => (entry.kind === "order" ? [entry.order] : []));
  const waitingAtPeers = Object.values(state.asks)
    .flat()
    .map(({ order }) => order);
  const dropped = [...waitingHere, ...waitingAtPeers].filter(isDropped);
  if (dropped.length === 0) {
    return { state, dropped };
  }
  const remainingQueues = Object.fromEntries(
    Object.entries(state.waiting).map(([customer, queue]) => [
      customer,
      queue.filter((entry) => !isDroppedEntry(entry)),
    ]),
  );
  const remainingRequests = Object.fromEntries(
    Object.entries(state.asks).map(([customer, pending]) => [
      customer,
      pending.filter(({ order }) => !isDropped(order)),
    ]),
  );
  return {
    state: { ...state, waiting: remainingQueues, asks: remainingRequests },
    dropped,
  };
}
