import type { PeerMessage } from "./types.ts";

/**
 * Every kind of peer message. The type fails to check while a kind of the
 * union is missing, and receivers drop and count any other kind.
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
