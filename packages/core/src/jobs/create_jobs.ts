import type { JobsState } from "./types.ts";

/** Creates the batch state of an instance that knows no job. */
export function createJobs(): JobsState {
  return {
    known: {},
    owned: {},
    offers: {},
    seen: {},
    revision: 0,
    claim: undefined,
    deafMs: -1e9,
    isPolling: false,
    nextPollMs: 0,
    isSeeking: false,
    nextSeekMs: 0,
    tickMs: 0,
  };
}
