/** Figures of what an instance knows of upstreams and peers. */
export const FLEET = {
  /** Entries that lapsed while the store was away may return this long, ms. */
  LAPSE_GRACE_MS: 2_500,
  /** The store counts as away once calls have failed this long, in ms. */
  STORE_AWAY_MS: 400,
  /** A peer's load older than this says nothing of the present, in ms. */
  LOAD_AGE_MS: 1_500,
  /** First time that a failing upstream is avoided, in ms; doubles. */
  SUSPECT_MS: 400,
  MAX_SUSPECT_MS: 3_000,
  /** A peer's suspicion counts this long, in ms. */
  PEER_SUSPECT_MS: 400,
  /** Signs of life older than this are not told, in ms. */
  SIGN_AGE_MS: 250,
  /** Weight of one request in the mean time that a slot is held. */
  MEAN_WEIGHT: 0.05,
  /** Mean time that a slot is held before any request has ended, in ms. */
  FIRST_MEAN_MS: 700,
  /** Lifetime of an instance's record without renewal, in ms. */
  LEASE_MS: 3_000,
  KEEP_MS: 1_000,
  /** Load messages to each peer are this far apart, in ms. */
  GOSSIP_MS: 100,
  /** A data centre all of whose instances are unheard is avoided, in ms. */
  SILENT_MS: 350,
  /** Load messages that may be lost before a data centre counts as silent. */
  SILENT_MESSAGES: 3.5,
  /** News that peers act upon at once wait this long for more, in ms. */
  NEWS_MS: 5,
  /** Time per peer that the pace of load messages allows, in ms. */
  GOSSIP_PEER_MS: 8,
} as const;
