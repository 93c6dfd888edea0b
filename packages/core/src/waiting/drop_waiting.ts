import type { WaitingRequest, WaitingRoom } from "./types.ts";

/** Removes a request from those that wait; does nothing if it does not wait. */
export function dropWaiting(
  room: WaitingRoom,
  { id, customer, bytes }: WaitingRequest,
): WaitingRoom {
  const before = room.customers.get(customer) ?? [];
  const rest = before.filter((other) => other.id !== id);
  if (rest.length === before.length) {
    return room;
  }
  const customers = new Map(room.customers);
  if (rest.length === 0) {
    customers.delete(customer);
  } else {
    customers.set(customer, rest);
  }
  return {
    ...room,
    customers,
    count: room.count - 1,
    bytes: room.bytes - bytes,
  };
}
