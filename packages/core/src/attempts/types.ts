/** Outcomes of an attempt at one upstream, and the step that follows. */

export type AttemptEnd =
  /** No byte of the request was sent. */
  | { readonly kind: "unsent"; readonly reason: string }
  /** The upstream reported that it did not execute the request. */
  | { readonly kind: "unexecuted"; readonly status: number }
  /** The complete response arrived, with any status. */
  | { readonly kind: "answered"; readonly status: number }
  /** It is unknown whether the request was executed. */
  | {
      readonly kind: "lost";
      readonly reason: string;
      /**
       * Whether the upstream crashed and the request is likely to have crashed it,
       * or was stopped for that.
       */
      readonly isSuspect?: boolean;
    };

/** Retry rules of a route. */
export type RetryPolicy = {
  readonly isIdempotent: boolean;
  readonly isResumable: boolean;
  readonly maxAttempts: number;
};

/** Progress of a request over its attempts so far. */
export type RequestProgress = {
  /** Upstreams that may have executed the request. */
  readonly runs: number;
  /** Upstreams that were tried, including those that declined. */
  readonly upstreamsTried: number;
  /** Whether the caller has received part of the response. */
  readonly hasStarted: boolean;
  /** Time until the request's deadline, in ms. */
  readonly leftMs: number;
};

export type NextStep =
  | { readonly kind: "done" }
  | { readonly kind: "retry" }
  /** The caller has part of a response that cannot be completed. */
  | { readonly kind: "break-off"; readonly reason: string }
  /** The request was not executed and will not be. */
  | { readonly kind: "refuse"; readonly reason: string }
  /** The request may have been executed. */
  | { readonly kind: "fail"; readonly reason: string };
