import { FLEET } from "./constants.ts";

/** Time between load messages to each peer, in ms; bounded work an instance. */
export function countGossipMs(members: number): number {
  return Math.max(
    FLEET.MIN_GOSSIP_INTERVAL_MS,
    members * FLEET.GOSSIP_INTERVAL_PER_PEER_MS,
  );
}
