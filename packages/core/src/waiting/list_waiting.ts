import type { WaitingRequest, WaitingRoom } from "./types.ts";

/** Lists all requests that wait. */
export function listWaiting(room: WaitingRoom): readonly WaitingRequest[] {
  return [...room.customers.values()].flat();
}
