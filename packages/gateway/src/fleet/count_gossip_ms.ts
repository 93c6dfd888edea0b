import { FLEET } from "./constants.ts";

/** Time between load messages to each peer, in ms; bounded work an instance. */
export function countGossipMs(members: number): number {
  return Math.max(FLEET.GOSSIP_MS, members * FLEET.GOSSIP_PEER_MS);
}
