import type { DataCentreId } from "../ids/types.ts";
import type { InstanceState } from "../instance/types.ts";
import { findOwner } from "./find_owner.ts";
import { SLOT_TIMES } from "./slot_times.ts";
import type { OwnerLink } from "./types.ts";

/**
 * Chooses the slot owner to report to. Within the own data centre a report is
 * also a vote, so a change of owner waits until the previous vote has expired;
 * returns undefined until then, or if no owner is known.
 */
export function chooseOwnerLink(
  state: InstanceState,
  dataCentre: DataCentreId,
  nowMs: number,
): OwnerLink | undefined {
  const before = state.slots.links[dataCentre];
  const isLocal = dataCentre === state.self.dataCentre;
  if (before !== undefined && !isLocal && isResponsive(before, nowMs)) {
    return before;
  }
  const skip = isLocal || before === undefined ? 0 : before.skip + 1;
  const ownerId = findOwner(state, dataCentre, { nowMs, skip });
  if (ownerId === undefined) {
    return undefined;
  }
  if (before?.ownerId === ownerId && isLocal) {
    return before;
  }
  if (isLocal && nowMs < state.slots.voteLockedUntilMs) {
    return undefined;
  }
  return { ownerId, sinceMs: nowMs, skip, term: "", lastSeenMs: 0, echoMs: 0 };
}

function isResponsive(link: OwnerLink, nowMs: number): boolean {
  return (
    nowMs - Math.max(link.sinceMs, link.lastSeenMs) <
    SLOT_TIMES.OWNER_TIMEOUT_MS
  );
}
