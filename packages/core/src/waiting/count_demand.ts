import type { CustomerDemand, WaitingRoom } from "./types.ts";

/** Counts what customers ask for at this instance: in flight and waiting. */
export function countDemand(
  room: WaitingRoom,
  inFlight: CustomerDemand,
): CustomerDemand {
  const demand = new Map(inFlight);
  room.customers.forEach(({ length }, customer) => {
    demand.set(customer, (demand.get(customer) ?? 0) + length);
  });
  return demand;
}
