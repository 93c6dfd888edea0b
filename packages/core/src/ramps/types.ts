/** Limit on the requests that all instances may send to a cold upstream. */
export type RampLimit = {
  readonly perSecond: number;
  /** Factor by which a single second may exceed `perSecond`. */
  readonly over: number;
  /** Requests that a single second may hold in addition. */
  readonly slack: number;
};
