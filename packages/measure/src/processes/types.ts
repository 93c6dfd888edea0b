/** Fault-injection runs of several daemon processes on loopback. */

/** Outcome of one online request, as seen by its caller. */
export type CallResult = {
  /** Sent as the prompt, which identifies the call in the engines' records. */
  readonly callId: string;
  readonly customer: string;
  readonly isIdempotent: boolean;
  readonly sentMs: number;
  readonly endedMs: number;
  readonly end: CallEnd;
};

export type CallEnd =
  | { readonly kind: "answered" }
  | { readonly kind: "refused"; readonly code: string; readonly run: string }
  /** The connection was lost before a complete response. */
  | { readonly kind: "broken"; readonly instanceId: string }
  /** The response ended normally but is incomplete. */
  | { readonly kind: "partial" };

/** Final state of one job, as seen by its customer. */
export type JobResult = {
  readonly items: number;
  /** Number of lines of each item in the output and error files. */
  readonly lines: readonly number[];
  readonly status: string;
};

/** Counts of a run; a run fails if a count marked "must be 0" is not 0. */
export type RunCounts = {
  readonly sent: number;
  readonly answered: number;
  readonly refusedNotRun: number;
  readonly refusedMayHaveRun: number;
  /** Connections lost to an instance that was killed with SIGKILL. */
  readonly brokenByKill: number;
  /** Connections lost to any other instance: must be 0. */
  readonly brokenElsewhere: number;
  /** Responses that ended normally but are incomplete: must be 0. */
  readonly partial: number;
  /** Non-idempotent requests that ran more than once: must be 0. */
  readonly duplicated: number;
  /** Requests refused as "not run" that an engine did run: must be 0. */
  readonly falseNotRun: number;
  /** Time windows with more admissions than the limit allows: must be 0. */
  readonly overLimit: number;
  readonly jobs: number;
  readonly items: number;
  /** Items without an output or error line: must be 0. */
  readonly itemsLost: number;
  /** Items with more than one line: must be 0. */
  readonly itemsDoubled: number;
};
