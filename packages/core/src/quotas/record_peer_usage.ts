import { QUOTAS } from "./constants.ts";
import type { PeerUsage, Quota } from "./types.ts";

/** A peer's view of the bucket, and how long it has been running. */
type PeerView = {
  readonly tokens: number;
  readonly ageMs: number;
};

/**
 * Takes what a peer has admitted since it was last heard. What it admitted
 * while silent came out of its static part. Of a peer that is heard for the
 * first time all counts if it has just started; one that has long been running
 * knows the bucket, so its view is taken instead.
 */
export function recordPeerUsage(
  quota: Quota,
  peerId: string,
  usage: PeerUsage,
  view: PeerView,
): Quota {
  const known = quota.peers.get(peerId);
  const peers = new Map(quota.peers).set(peerId, usage);
  if (known?.incarnation === usage.incarnation) {
    const wasSilent = usage.heardMs - known.heardMs > QUOTAS.SILENT_MS;
    const spent = wasSilent ? 0 : Math.max(0, usage.admitted - known.admitted);
    return { ...quota, peers, tokens: quota.tokens - spent };
  }
  if (view.ageMs < QUOTAS.YOUNG_MS) {
    return { ...quota, peers, tokens: quota.tokens - usage.admitted };
  }
  const isYoung = usage.heardMs - quota.createdMs < QUOTAS.YOUNG_MS;
  const tokens = isYoung
    ? Math.max(quota.tokens, view.tokens)
    : Math.min(quota.tokens, view.tokens);
  return { ...quota, peers, tokens };
}
