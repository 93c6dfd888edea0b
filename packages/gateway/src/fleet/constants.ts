/** Figures of what an instance knows of upstreams and peers. */
export const FLEET = {
  /** Entries that lapsed while the store was away may return this long, ms. */
  LAPSE_GRACE_MS: 2_500,
  /** The store counts as away once calls have failed this long, in ms. */
  STORE_OUTAGE_MS: 400,
  /** A peer's load older than this says nothing of the present, in ms. */
  MAX_LOAD_AGE_MS: 1_500,
  /** First time that a failing upstream is avoided, in ms; doubles. */
  MIN_SUSPECT_MS: 400,
  MAX_SUSPECT_MS: 3_000,
  /** A peer's suspicion counts this long, in ms. */
  PEER_SUSPECT_MS: 400,
  /** Signs of life older than this are not told, in ms. */
  MAX_ACTIVITY_AGE_MS: 250,
  /** Weight of one request in the mean time that a slot is held. */
  SERVICE_TIME_WEIGHT: 0.05,
  /** Mean time that a slot is held before any request has ended, in ms. */
  INITIAL_SERVICE_TIME_MS: 700,
  /** Lifetime of an instance's record without renewal, in ms. */
  LEASE_TTL_MS: 3_000,
  LEASE_RENEWAL_INTERVAL_MS: 1_000,
  /** Load messages to each peer are this far apart, in ms. */
  MIN_GOSSIP_INTERVAL_MS: 100,
  /** A data centre all of whose instances are unheard is avoided, in ms. */
  MIN_PEER_TIMEOUT_MS: 350,
  /** Load messages that may be lost before a data centre counts as silent. */
  PEER_TIMEOUT_INTERVALS: 3.5,
  /** News that peers act upon at once wait this long for more, in ms. */
  URGENT_GOSSIP_DELAY_MS: 5,
  /** Time per peer that the pace of load messages allows, in ms. */
  GOSSIP_INTERVAL_PER_PEER_MS: 8,
} as const;
