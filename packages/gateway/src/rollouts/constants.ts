/** Times of roll-outs at an instance. */
export const ROLLOUT_TIMES = {
  /** Interval at which evidence is compared, in ms; longer in a large fleet. */
  CHECK_INTERVAL_MS: 150,
  /** Part of that interval for each member of the fleet, in ms. */
  CHECK_INTERVAL_PER_MEMBER_MS: 4,
  /** Instances of a data centre that compare the versions for the others. */
  COMPARERS: 2,
  /** Time that each further instance waits for those before it, in ms. */
  ADVANCE_RANK_DELAY_MS: 700,
  ROLL_BACK_RANK_DELAY_MS: 250,
  /** Time after an order in which it is not known who follows it, in ms. */
  UNKNOWN_MS: 1_500,
  /** Ranks beyond this wait as long as this one. */
  MAX_RANK: 12,
  /** Time until a step that the store did not confirm is tried again, in ms. */
  RETRY_DELAY_MS: 250,
  /** Time that a version waits which is seen before an order for it, in ms. */
  HOLD_MS: 1_000,
  /** Least age up to which a peer's message shows its work in flight, in ms. */
  MIN_MESSAGE_AGE_MS: 1_000,
  /** Time since its start in which an instance learns of orders given before, in ms. */
  START_MS: 5_000,
  /** Weight of one answer in the mean time to the first byte. */
  TIME_WEIGHT: 0.05,
  /** Answers after which the mean is used. */
  MIN_TIMES: 8,
} as const;
