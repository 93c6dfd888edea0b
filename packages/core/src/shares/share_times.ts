/** Times and sizes of the division of limits into shares. */
export const SHARE_TIMES = {
  /** Records that all customers' shares stand in. */
  GROUP_COUNT: 16,
  /** Between reads of one group's record after the other. */
  POLL_MS: 5_000,
  /** Between reads while nothing was read yet. */
  FIRST_POLL_MS: 250,
  /** Between reports of demand. */
  REPORT_MS: 5_000,
  /** Between two divisions of a group. */
  REBALANCE_MS: 15_000,
  /** Between looks at the groups for which an instance has the duty. */
  DUTY_MS: 250,
  /** Until the next try after a write that was lost or came too late. */
  RETRY_MS: 1_000,
  /** How long holders have to answer a wish to lower their share. */
  LOWER_WAIT_MS: 500,
  /** How long a holder without an answer is left out of divisions. */
  MUTE_MS: 60_000,
  /** Slack for rounding of sums of shares. */
  EPSILON: 1e-6,
} as const;
