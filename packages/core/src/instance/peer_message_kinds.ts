import type { PeerMessage } from "./types.ts";

/**
 * All kinds of peer messages. The type check fails if a kind of the union is
 * missing. Receivers discard and count messages of any other kind.
 */
export const PEER_MESSAGE_KINDS: Readonly<Record<PeerMessage["kind"], true>> = {
  heartbeat: true,
  "config-asked": true,
  "config-sent": true,
  "job-cancelled": true,
  "claim-asked": true,
  "claim-answered": true,
  "claim-dropped": true,
  "slot-report": true,
  "slot-grants": true,
  "loan-asked": true,
  "loan-answered": true,
  "demand-reported": true,
  "share-lower-asked": true,
  "share-lowered": true,
  "shares-asked": true,
  "shares-written": true,
};
