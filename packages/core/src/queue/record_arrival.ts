import type { InstanceState } from "../instance/types.ts";
import { setEntry } from "../shared/set_entry.ts";
import type { WorkOrder } from "../work/types.ts";
import { computeArrivalRate } from "./compute_arrival_rate.ts";
import { QUEUE_BOUNDS } from "./constants.ts";

const MS_PER_SECOND = 1_000;

/** Adds an online request to the arrival rate of its service. */
export function recordArrival(
  state: InstanceState,
  { service }: WorkOrder,
  nowMs: number,
): InstanceState {
  const perSecond =
    computeArrivalRate(state.arrivals[service], nowMs) +
    MS_PER_SECOND / QUEUE_BOUNDS.ARRIVAL_DECAY_MS;
  const arrivals = setEntry(state.arrivals, service, {
    perSecond,
    atMs: nowMs,
  });
  return { ...state, arrivals };
}
