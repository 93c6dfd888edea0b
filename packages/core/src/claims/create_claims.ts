import type { ClaimsState } from "./types.ts";

/** Creates an empty claims state. */
export function createClaims(): ClaimsState {
  return { waitingRequests: {}, groups: {} };
}
