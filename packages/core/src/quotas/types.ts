/** A customer's rate and burst over the whole fleet, as one instance sees it. */

export type QuotaLimit = {
  /** Requests a second; 0 is no limit. */
  readonly ratePerSecond: number;
  readonly burst: number;
};

/** What a peer said of a customer. */
export type PeerUsage = {
  /** Start of the peer's process that counted. */
  readonly incarnation: string;
  /** Requests admitted there since that start. */
  readonly admitted: number;
  readonly heardMs: number;
};

/**
 * This instance's estimate of the customer's one bucket: its own admissions
 * are taken at once, those of peers as they are heard. It may be below 0.
 */
export type Quota = {
  readonly tokens: number;
  readonly atMs: number;
  readonly createdMs: number;
  /** Own admissions since the start. */
  readonly admitted: number;
  readonly peers: ReadonlyMap<string, PeerUsage>;
};
