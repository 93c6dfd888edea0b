import type { SlotState } from "./types.ts";

/** Creates the state of an instance that has reported nothing yet. */
export function createSlots(): SlotState {
  return {
    links: {},
    voteLockedUntilMs: 0,
    lastReportMs: undefined,
    isReportDue: false,
    votes: {},
    ownerSinceMs: undefined,
    grantCount: 0,
    ledgers: {},
  };
}
