import type { InstanceState } from "../instance/types.ts";
import { createSharded } from "../sharded/create_sharded.ts";
import { locateGroup } from "./locate_group.ts";
import { setGroup } from "./set_group.ts";
import type { ClaimGroup, PendingClaim } from "./types.ts";

/**
 * Adds a claim to its group's pending claims, which are written in batches. A
 * repeated request with the same token replaces the earlier one.
 */
export function enqueueClaim(
  state: InstanceState,
  request: Omit<PendingClaim, "requestedMs">,
  nowMs: number,
): InstanceState {
  const claim: PendingClaim = { ...request, requestedMs: nowMs };
  const id = locateGroup(claim.claimKey);
  const group = state.claims.groups[id] ?? createGroup();
  const pending = [
    ...group.pending.filter(({ token }) => token !== claim.token),
    claim,
  ];
  return setGroup(state, id, { ...group, pending });
}

function createGroup(): ClaimGroup {
  return {
    holders: createSharded(),
    number: 0,
    version: 0,
    claims: {},
    leaseId: undefined,
    isLoaded: false,
    isCallPending: false,
    pending: [],
    writing: [],
    nextFlushMs: 0,
  };
}
