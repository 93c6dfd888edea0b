import type { SlotState } from "./types.ts";

/** Creates the slot state of an instance that has sent no report yet. */
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
