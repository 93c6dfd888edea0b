/** A run of several daemon processes on loopback, under faults. */

/** How one online request went, as its caller saw it. */
export type CallResult = {
  /** Stands in the prompt, so that engines' logs name it too. */
  readonly mark: string;
  readonly customer: string;
  readonly isIdempotent: boolean;
  readonly sentMs: number;
  readonly endedMs: number;
  readonly end: CallEnd;
};

export type CallEnd =
  | { readonly kind: "answered" }
  | { readonly kind: "refused"; readonly code: string; readonly run: string }
  /** The connection broke without a refusal. */
  | { readonly kind: "broken"; readonly instanceId: string }
  /** An answer that claims to be whole and is not. */
  | { readonly kind: "partial" };

/** One job, as its customer saw it at the end. */
export type JobResult = {
  readonly items: number;
  /** Times that each item stands in the output and error files. */
  readonly lines: readonly number[];
  readonly status: string;
};

/** What the run came to. Zeros are required where a zero is named. */
export type RunCounts = {
  readonly sent: number;
  readonly answered: number;
  readonly refusedNotRun: number;
  readonly refusedMayHaveRun: number;
  /** Broken off by the instance that was killed hard. */
  readonly brokenByKill: number;
  /** Broken off by any other instance: must be 0. */
  readonly brokenElsewhere: number;
  /** Answers that claim to be whole and are not: must be 0. */
  readonly partial: number;
  /** Non-idempotent requests that an engine ran twice: must be 0. */
  readonly duplicated: number;
  /** Refusals "not run" of what an engine ran: must be 0. */
  readonly falseNotRun: number;
  /** Windows in which a customer's admissions exceed its limit: must be 0. */
  readonly overLimit: number;
  readonly jobs: number;
  readonly items: number;
  /** Items without a line at the end: must be 0. */
  readonly itemsLost: number;
  /** Items with two lines: must be 0. */
  readonly itemsDoubled: number;
};
