import {
  type CustomerDemand,
  divideSlots,
  estimateUntold,
} from "@gooseberryline/core";
import type { FleetNews } from "./fleet_outlook.ts";
import type { Outlook } from "./types.ts";

type OwnDemand = {
  readonly own: CustomerDemand;
  readonly inFlight: number;
  /** Requests that came lately and were not refused, per ms. */
  readonly ownPerMs: number;
  readonly meanServiceMs: number;
};

/** Estimates this instance's part of the room at a service's upstreams. */
export function estimateOutlook(
  { room, demand, silent, tellers, ageMs, instances }: FleetNews,
  { own, inFlight, ownPerMs, meanServiceMs }: OwnDemand,
): Outlook {
  const told = [...demand.values()].reduce((sum, count) => sum + count, 0);
  const untold = estimateUntold({
    told,
    tellers,
    ageMs,
    ownPerMs,
    meanServiceMs,
  });
  const { slots } = room;
  const others = demand;
  const share = divideSlots({ slots, own, others, untold, instances, silent });
  return { ...room, pace: { share, inFlight, meanServiceMs } };
}
