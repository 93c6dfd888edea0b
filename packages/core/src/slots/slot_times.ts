/** Intervals, timeouts and ramp steps for slot grants. */
export const SLOT_TIMES = {
  /** Interval between reports to the slot owner. */
  REPORT_INTERVAL_MS: 250,
  /** Minimum interval between reports when a change has to be reported. */
  URGENT_REPORT_MS: 10,
  /** Interval between reports while online work waits for a slot. */
  WAITING_REPORT_MS: 25,
  /** Validity of a grant from the holder's report, by the holder's clock. */
  GRANT_MS: 1_000,
  /** How long a vote counts, and how long its voter can't vote for another. */
  VOTE_MS: 1_000,
  /** Maximum drift between two clocks over the periods above. */
  CLOCK_DRIFT_MS: 50,
  /** Time without a message after which a peer is not considered as owner. */
  OWNER_TIMEOUT_MS: 1_000,
  /** Time for which a new owner only renews grants, until older ones expire. */
  SETTLE_MS: 1_100,
  /** Complete responses that raise a ramp by one slot. */
  SUCCESSES_PER_SLOT: 8,
  /** Complete responses after which a large upstream's ramp is finished. */
  RAMP_SUCCESSES: 128,
  /** Age of the last response after which an upstream must be probed. */
  IDLE_MS: 10_000,
  /** Time after a failure during which a response may still predate it. */
  STALE_RESPONSE_MS: 10,
  /** Maximum age of a response received here for use of the base share. */
  RECENT_RESPONSE_MS: 2_000,
} as const;
