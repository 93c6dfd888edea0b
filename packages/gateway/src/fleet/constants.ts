/** Timeouts and limits for tracking upstreams and peer instances. */
export const FLEET = {
  /**
   * Time after a store outage in which lapsed upstreams may register again, in
   * ms.
   */
  LAPSE_GRACE_MS: 2_500,
  /** Duration of failing calls after which the store counts as down, in ms. */
  STORE_OUTAGE_MS: 400,
  /**
   * Maximum age at which a peer's load report is still used, in ms; longer in a
   * large fleet, whose instances report less often.
   */
  MAX_LOAD_AGE_MS: 1_500,
  /** Message intervals after which what a peer reported is out of date. */
  AGE_LIMIT_INTERVALS: 2.5,
  /**
   * Initial time that a failing upstream is avoided, in ms; doubles with each
   * consecutive failure.
   */
  MIN_SUSPECT_MS: 400,
  MAX_SUSPECT_MS: 3_000,
  /** Time that an upstream reported as suspect by a peer is avoided, in ms. */
  PEER_SUSPECT_MS: 400,
  /** Maximum age of upstream activity that is reported to peers, in ms. */
  MAX_ACTIVITY_AGE_MS: 250,
  /** Share of the quota slack that an instance may spend when it starts. */
  INITIAL_TOKENS_SHARE: 0.5,
  /** Weight of one request in the moving average of service times. */
  SERVICE_TIME_WEIGHT: 0.05,
  /** Service time assumed until a request has completed, in ms. */
  INITIAL_SERVICE_TIME_MS: 700,
  /** Time to live of an instance's lease without renewal, in ms. */
  LEASE_TTL_MS: 3_000,
  LEASE_RENEWAL_INTERVAL_MS: 1_000,
  /** Minimum interval between load messages to each peer, in ms. */
  MIN_GOSSIP_INTERVAL_MS: 100,
  /**
   * Minimum time without a message after which a peer counts as unreachable, in
   * ms. A data centre without a reachable instance is avoided.
   */
  MIN_PEER_TIMEOUT_MS: 350,
  /**
   * Number of message intervals without a message after which a peer counts as
   * unreachable.
   */
  PEER_TIMEOUT_INTERVALS: 3.5,
  /** Delay that batches several urgent changes into one load message, in ms. */
  URGENT_GOSSIP_DELAY_MS: 5,
  /**
   * Message interval per fleet member, which bounds the sending rate of an
   * instance, in ms.
   */
  GOSSIP_INTERVAL_PER_PEER_MS: 7.5,
  /**
   * Share of the interval beyond the minimum for which messages of peers are held.
   * They are held at the instance that passes them on and where they arrive; both
   * are made up for by the shorter interval.
   */
  INBOX_INTERVAL_SHARE: 1 / 32,
  /** Messages of work in flight for each load message that pay for sending any. */
  MIN_WORK_MESSAGES: 2,
} as const;
