import { TABLE_TRUST } from "./constants.ts";
import type { TableFacts } from "./types.ts";

/**
 * Returns whether a key or route that the table lacks may be refused for good. An
 * instance that may be behind says that it can't be sure instead, so that the
 * caller tries elsewhere.
 */
export function canRefuseByTable({
  isReadable,
  knownRevision,
  peerRevision,
  isConfirmed,
  wasMissing,
  peers,
  agreeingPeers,
}: TableFacts): boolean {
  if (!isReadable || peerRevision > knownRevision) {
    return false;
  }
  const doPeersAgree =
    agreeingPeers > 0 && agreeingPeers >= peers * TABLE_TRUST.AGREEING_SHARE;
  return isConfirmed || (wasMissing && doPeersAgree);
}
