import { QUOTAS } from "./constants.ts";
import type { PeerUsage, Quota } from "./types.ts";

/**
 * Takes what a peer has admitted since it was last heard. What it admitted
 * while silent came out of its static part, and what it admitted before this
 * instance knew it is counted by `peerTokens`, its own view of the bucket.
 */
export function notePeerUsage(
  quota: Quota,
  peerId: string,
  usage: PeerUsage,
  peerTokens: number,
): Quota {
  const known = quota.peers.get(peerId);
  const peers = new Map(quota.peers).set(peerId, usage);
  if (known === undefined && quota.peers.size === 0 && quota.admitted === 0) {
    return { ...quota, peers, tokens: Math.max(quota.tokens, peerTokens) };
  }
  if (known === undefined || known.incarnation !== usage.incarnation) {
    return { ...quota, peers, tokens: quota.tokens - usage.admitted };
  }
  const wasSilent = usage.heardMs - known.heardMs > QUOTAS.SILENT_MS;
  const spent = wasSilent ? 0 : Math.max(0, usage.admitted - known.admitted);
  return { ...quota, peers, tokens: quota.tokens - spent };
}
