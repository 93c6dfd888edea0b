import type { SharesState } from "./types.ts";

/** Creates the share state of an instance that has read no records yet. */
export function createShares(): SharesState {
  return {
    groups: {},
    reductions: {},
    demandReports: {},
    reportedArrivals: {},
    rebalances: {},
    nextPollMs: 0,
    pollCount: 0,
    staleGroup: undefined,
    nextReportMs: 0,
    nextTakeOverMs: 0,
    unconfirmedSinceMs: undefined,
    nextCoordinationMs: 0,
    nextRebalanceMs: {},
    loanRequestCount: 0,
    roundTripsMs: {},
    writeCount: 0,
    answers: [],
    unresponsiveUntilMs: {},
    handBack: "none",
  };
}
