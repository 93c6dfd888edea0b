/** How a try of a request at one upstream ended, and what follows. */

export type AttemptEnd =
  /** No byte of it was sent. */
  | { readonly kind: "unsent"; readonly reason: string }
  /** The upstream says that it did not run it. */
  | { readonly kind: "unexecuted"; readonly status: number }
  /** The whole answer came, whatever its status. */
  | { readonly kind: "answered"; readonly status: number }
  /** Nothing tells whether it ran. */
  | { readonly kind: "lost"; readonly reason: string };

/** What a route allows to be repeated. */
export type RepeatPolicy = {
  readonly isIdempotent: boolean;
  readonly isResumable: boolean;
  readonly maxAttempts: number;
};

/** How far a request has come. */
export type RequestProgress = {
  /** Upstreams that may have run it. */
  readonly runs: number;
  /** Upstreams that it was offered to, those that declined included. */
  readonly offers: number;
  /** Whether the caller has part of the answer. */
  readonly hasBegun: boolean;
  /** Time until its deadline, in ms. */
  readonly leftMs: number;
};

export type NextStep =
  | { readonly kind: "done" }
  | { readonly kind: "retry" }
  /** The caller has part of an answer that can't be completed. */
  | { readonly kind: "break-off"; readonly reason: string }
  /** It ran nowhere and never will. */
  | { readonly kind: "refuse"; readonly reason: string }
  /** It may have run. */
  | { readonly kind: "fail"; readonly reason: string };
