/** Which way calls of the metadata store go: directly, or by way of a peer. */

/** What an instance knows of its direct path to the store. */
export type DirectPath =
  | { readonly kind: "sound" }
  /** A direct call was not answered; `probeAtMs` is when the next may be tried. */
  | {
      readonly kind: "suspect";
      readonly probes: number;
      readonly probeAtMs: number;
    };

/** A call that has to go one way or the other. */
export type StoreCallFacts = {
  /** Whether the call may be executed twice without harm, and ends soon. */
  readonly isProbeable: boolean;
  readonly hasPeer: boolean;
};

export type StorePathChoice =
  | { readonly kind: "direct" }
  /** With `isProbe`, the call is also sent directly, to see if it is answered. */
  | { readonly kind: "peer"; readonly isProbe: boolean };
