/** How many requests a cold upstream may be sent, over all instances. */
export type RampLimit = {
  readonly perSecond: number;
  /** Factor by which one second may exceed `perSecond`. */
  readonly over: number;
  /** Requests that one second may hold beyond that. */
  readonly slack: number;
};
