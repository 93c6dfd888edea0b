/** Limit on the requests of all instances together to a cold upstream. */
export type RampLimit = {
  readonly perSecond: number;
  /** Factor by which a single second may exceed `perSecond`. */
  readonly over: number;
  /** Requests that a single second may hold in addition. */
  readonly slack: number;
};
