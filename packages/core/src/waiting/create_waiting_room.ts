import type { WaitingRoom } from "./types.ts";

/** Creates a room in which nothing waits. */
export function createWaitingRoom(): WaitingRoom {
  return {
    customers: new Map(),
    tags: undefined,
    count: 0,
    bytes: 0,
    lateTurns: 0,
  };
}
