import type { InstanceState, Step } from "../instance/types.ts";
import { advanceClaimGroup } from "./advance_claim_group.ts";
import { enqueueClaim } from "./enqueue_claim.ts";
import { locateGroup } from "./locate_group.ts";
import type { PendingClaim } from "./types.ts";

/** Adds a claim to its group and advances the group immediately. */
export function offerClaim(
  state: InstanceState,
  request: Omit<PendingClaim, "requestedMs">,
  nowMs: number,
): Step {
  const queued = enqueueClaim(state, request, nowMs);
  return advanceClaimGroup(queued, locateGroup(request.claimKey), nowMs);
}
