import type { JobsState } from "./types.ts";

/** Creates the initial batch state of an instance, without any jobs. */
export function createJobs(): JobsState {
  return {
    known: {},
    owned: {},
    offers: {},
    seen: {},
    revision: 0,
    claim: undefined,
    storeUnavailableAtMs: -1e9,
    isPolling: false,
    nextPollAtMs: 0,
    isScanning: false,
    nextScanAtMs: 0,
    lastTickAtMs: 0,
  };
}
