import type { ClaimsState } from "./types.ts";

/** Creates the claims of an instance that waits for none. */
export function createClaims(): ClaimsState {
  return { waitingRequests: {}, groups: {} };
}
