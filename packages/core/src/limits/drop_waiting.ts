import type { InstanceState } from "../instance/types.ts";
import type { WorkOrder } from "../work/types.ts";
import type { Waiting } from "./types.ts";

/** Drops requests that wait for a token and that `isDropped` picks. */
export function dropWaiting(
  state: InstanceState,
  isDropped: (order: WorkOrder) => boolean,
): {
  readonly state: InstanceState;
  readonly dropped: readonly WorkOrder[];
} {
  const isGone = (one: Waiting): boolean =>
    one.kind === "order" && isDropped(one.order);
  const here = Object.values(state.waiting)
    .flat()
    .flatMap((one) => (one.kind === "order" ? [one.order] : []));
  const atPeers = Object.values(state.asks)
    .flat()
    .map(({ order }) => order);
  const dropped = [...here, ...atPeers].filter(isDropped);
  if (dropped.length === 0) {
    return { state, dropped };
  }
  const waiting = Object.fromEntries(
    Object.entries(state.waiting).map(([customer, queue]) => [
      customer,
      queue.filter((one) => !isGone(one)),
    ]),
  );
  const asks = Object.fromEntries(
    Object.entries(state.asks).map(([customer, open]) => [
      customer,
      open.filter(({ order }) => !isDropped(order)),
    ]),
  );
  return { state: { ...state, waiting, asks }, dropped };
}
