import type { PeerCounts } from "./types.ts";

/** Creates the counts of a process that has just started. */
export function createPeerCounts(): PeerCounts {
  return {
    sent: 0,
    received: 0,
    droppedUnknown: 0,
    droppedUnsent: 0,
    droppedUnread: 0,
  };
}
