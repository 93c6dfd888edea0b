import { QUOTAS } from "./constants.ts";
import type { PeerUsage, Quota } from "./types.ts";

/** A peer's estimate of the bucket, and its uptime in ms. */
type PeerView = {
  readonly tokens: number;
  readonly ageMs: number;
};

/**
 * Subtracts the requests that a peer has admitted since its last message. Those
 * admitted while it was silent came out of its static share and don't count. On
 * the first message of a peer, all its admissions count if it has just started.
 * A peer with a longer uptime knows the bucket: the lower of both estimates is
 * used, or the higher one while this instance is warming up.
 */
export function recordPeerUsage(
  quota: Quota,
  peerId: string,
  usage: PeerUsage,
  view: PeerView,
): Quota {
  const previous = quota.peers.get(peerId);
  const peers = new Map(quota.peers).set(peerId, usage);
  if (previous?.incarnation === usage.incarnation) {
    const wasSilent =
      usage.lastSeenMs - previous.lastSeenMs > QUOTAS.PEER_TIMEOUT_MS;
    const newlyAdmitted = wasSilent
      ? 0
      : Math.max(0, usage.admitted - previous.admitted);
    return { ...quota, peers, tokens: quota.tokens - newlyAdmitted };
  }
  if (view.ageMs < QUOTAS.WARM_UP_MS) {
    return { ...quota, peers, tokens: quota.tokens - usage.admitted };
  }
  const isWarmingUp = usage.lastSeenMs - quota.createdMs < QUOTAS.WARM_UP_MS;
  const tokens = isWarmingUp
    ? Math.max(quota.tokens, view.tokens)
    : Math.min(quota.tokens, view.tokens);
  return { ...quota, peers, tokens };
}
