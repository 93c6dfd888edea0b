/** Times and steps of the split of slots. */
export const SLOT_TIMES = {
  /** Interval of reports to the slot owner, milliseconds. */
  REPORT_MS: 250,
  /** Least interval of reports that tell of a change, milliseconds. */
  URGENT_REPORT_MS: 10,
  /** Interval of reports while online work waits for a slot. */
  ASK_MS: 25,
  /** How long a grant allows starts, from its report, holder's clock. */
  GRANT_MS: 1_000,
  /** How long a vote counts; a voter stays with its owner as long. */
  VOTE_MS: 1_000,
  /** Allowed difference of two clocks over the periods above. */
  CLOCK_DRIFT_MS: 50,
  /** Silence after which a peer is not taken for an owner. */
  OWNER_TIMEOUT_MS: 1_000,
  /** Time in which a new owner only renews: older grants lapse within it. */
  SETTLE_MS: 1_100,
  /** Whole answers that raise a ramp by one slot. */
  SUCCESSES_PER_SLOT: 8,
  /** Whole answers after which the ramp of a large upstream is done. */
  RAMP_SUCCESSES: 128,
  /** Age of the last answer after which an upstream has to be probed. */
  IDLE_MS: 10_000,
  /** Signs of life so soon after a failure may be from before it. */
  STALE_ANSWER_MS: 10,
  /** Age of an own answer up to which the base share may be used. */
  RECENT_ANSWER_MS: 2_000,
} as const;
