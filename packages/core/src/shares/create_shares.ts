import type { SharesState } from "./types.ts";

/** The state of shares of an instance that knows nothing yet. */
export function createShares(): SharesState {
  return {
    groups: {},
    lowered: {},
    reports: {},
    reported: {},
    rebalances: {},
    nextPollMs: 0,
    pollCount: 0,
    staleGroup: undefined,
    nextReportMs: 0,
    nextTakeOverMs: 0,
    clearMs: undefined,
    nextDutyMs: 0,
    nextRebalanceMs: {},
    askCount: 0,
    roundTripsMs: {},
    writeCount: 0,
    answers: [],
    mute: {},
    handBack: "none",
  };
}
