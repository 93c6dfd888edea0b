import type { InstanceState, Step } from "../instance/types.ts";
import { createSharded } from "../sharded/create_sharded.ts";
import { driveGroup } from "./drive_group.ts";
import { locateGroup } from "./locate_group.ts";
import { setGroup } from "./set_group.ts";
import type { ClaimGroup, PendingClaim } from "./types.ts";

/** Takes a claim into its group, to be written with others. */
export function offerClaim(
  state: InstanceState,
  asked: Omit<PendingClaim, "askedMs">,
  nowMs: number,
): Step {
  const claim: PendingClaim = { ...asked, askedMs: nowMs };
  const id = locateGroup(claim.claimKey);
  const group = state.claims.groups[id] ?? createGroup();
  const pending = [
    ...group.pending.filter(({ token }) => token !== claim.token),
    claim,
  ];
  const noted = setGroup(state, id, { ...group, pending });
  return driveGroup(noted, id, nowMs);
}

function createGroup(): ClaimGroup {
  return {
    known: createSharded(),
    number: 0,
    version: 0,
    claims: {},
    leaseId: undefined,
    isLoaded: false,
    isAsking: false,
    pending: [],
    writing: [],
    nextFlushMs: 0,
  };
}
