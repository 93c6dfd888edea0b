import { computeGossipIntervalMs } from "./compute_gossip_interval_ms.ts";
import { FLEET } from "./constants.ts";

/** How long what a peer reported can be relied on, in ms. */
type LoadTimes = {
  /** Time between two messages of a peer. */
  readonly intervalMs: number;
  /** Time without a message after which a peer counts as unreachable. */
  readonly peerTimeoutMs: number;
  /** Age at which a report is out of date. */
  readonly ageLimitMs: number;
};

/** Computes the times that follow from the interval between load messages. */
export function computeLoadTimes(memberCount: number): LoadTimes {
  const intervalMs = computeGossipIntervalMs(memberCount);
  return {
    intervalMs,
    peerTimeoutMs: Math.max(
      FLEET.MIN_PEER_TIMEOUT_MS,
      intervalMs * FLEET.PEER_TIMEOUT_INTERVALS,
    ),
    ageLimitMs: intervalMs * FLEET.AGE_LIMIT_INTERVALS,
  };
}
