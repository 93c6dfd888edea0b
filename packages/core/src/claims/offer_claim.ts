import type { InstanceState, Step } from "../instance/types.ts";
import { driveGroup } from "./drive_group.ts";
import { locateGroup } from "./locate_group.ts";
import { noteClaim } from "./note_claim.ts";
import type { PendingClaim } from "./types.ts";

/** Takes a claim into its group, which is written or read at once. */
export function offerClaim(
  state: InstanceState,
  asked: Omit<PendingClaim, "askedMs">,
  nowMs: number,
): Step {
  const noted = noteClaim(state, asked, nowMs);
  return driveGroup(noted, locateGroup(asked.claimKey), nowMs);
}
