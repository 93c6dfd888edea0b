import { computeGossipIntervalMs } from "./compute_gossip_interval_ms.ts";
import { FLEET } from "./constants.ts";

/**
 * Returns how long load messages of peers are held to be handled together, in ms:
 * none in a fleet whose instances report as often as they may.
 */
export function computeInboxDelayMs(memberCount: number): number {
  const intervalMs = computeGossipIntervalMs(memberCount);
  return (
    (intervalMs - FLEET.MIN_GOSSIP_INTERVAL_MS) * FLEET.INBOX_INTERVAL_SHARE
  );
}
