import { FLEET } from "./constants.ts";

/**
 * Returns the interval between load messages to each peer, in ms. It grows with
 * the fleet, so that the work of each instance stays bounded.
 */
export function computeGossipIntervalMs(memberCount: number): number {
  return Math.max(
    FLEET.MIN_GOSSIP_INTERVAL_MS,
    memberCount * FLEET.GOSSIP_INTERVAL_PER_PEER_MS,
  );
}
