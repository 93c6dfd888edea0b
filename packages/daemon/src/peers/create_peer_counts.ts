import type { PeerCounts } from "./types.ts";

/** Creates peer message counters, all zero. */
export function createPeerCounts(): PeerCounts {
  return {
    sent: 0,
    received: 0,
    droppedUnknown: 0,
    droppedUnsent: 0,
    droppedUnread: 0,
  };
}
