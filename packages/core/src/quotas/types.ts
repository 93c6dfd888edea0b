/** A customer's fleet-wide rate and burst, as tracked by one instance. */

export type QuotaLimit = {
  /** Requests per second; 0 means no limit. */
  readonly ratePerSecond: number;
  readonly burst: number;
};

/** A peer's last report of its admissions for a customer. */
export type PeerUsage = {
  /** Identifies the peer process that counted. */
  readonly incarnation: string;
  /** Requests that process has admitted since it started. */
  readonly admitted: number;
};

/**
 * This instance's estimate of the customer's fleet-wide token bucket. Own
 * admissions are subtracted at once and those of peers when reported, so the
 * number of tokens may be negative.
 */
export type Quota = {
  readonly tokens: number;
  readonly atMs: number;
  readonly createdMs: number;
  /** Requests that this instance has admitted since it started. */
  readonly admitted: number;
};

/** A moving average of requests, admitted or not. */
export type Demand = {
  readonly perSecond: number;
  readonly atMs: number;
};

/** What the other instances may take unseen. */
export type OtherDemand = {
  /** Requests of the customer that come to them, by their last reports. */
  readonly perSecond: number;
  /** Time between two reports of an instance, in ms. */
  readonly lagMs: number;
};
