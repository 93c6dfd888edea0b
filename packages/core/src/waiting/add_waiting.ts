import type { WaitingRequest, WaitingRoom } from "./types.ts";

/** Adds a request to those that wait. */
export function addWaiting(
  room: WaitingRoom,
  request: WaitingRequest,
): WaitingRoom {
  const before = room.customers.get(request.customer) ?? [];
  const customers = new Map(room.customers);
  customers.set(request.customer, [...before, request]);
  return {
    ...room,
    customers,
    count: room.count + 1,
    bytes: room.bytes + request.bytes,
  };
}
