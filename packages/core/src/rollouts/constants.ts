/** Times, shares and thresholds of roll-outs. */
export const ROLLOUTS = {
  /** Share of requests that go to the new version, per bound on the share. */
  TRIAL_FACTOR: 0.7,
  SMALL_FACTOR: 1.5,
  LARGE_FACTOR: 3.5,
  /** What is left of the old version shows what hits both. */
  MOST_FACTOR: 8.5,
  MAX_COMPARED_SHARE: 0.85,
  /** Part of the bound's slack that instances spend in the trial. */
  SLACK_PART: 0.5,
  /** Unspent requests to the new version that an instance keeps at most. */
  MAX_BUDGET: 5,
  /** Answers of the new version that each route should have. */
  MIN_ROUTE_ANSWERS: 10,
  /** Least part of the duration that the trial takes. */
  TRIAL_PART: 0.3,
  /** Part of the duration after which little evidence no longer delays it. */
  TRIAL_LIMIT_PART: 0.5,
  /** Answers of the new version that end the trial at its least time. */
  TRIAL_ANSWERS: 30,
  /** Part of the trial's requests that must have had an answer by then. */
  MIN_REACHED_PART: 0.5,
  /** Part of the duration that each step after the trial takes. */
  STEP_PART: 0.06,
  MIN_STEP_MS: 400,
  MAX_STEP_MS: 3_000,
  /** Part of the old upstreams' slots that the new ones need before they take all. */
  CAPACITY_PART: 0.7,
  /** Part of the duration after which cold upstreams no longer delay it. */
  COLD_LIMIT_PART: 0.6,
  /** Part of the duration left at which items move away from old upstreams. */
  MOVE_ITEMS_PART: 0.2,
  /** Periods in the duration, by which evidence of the same time is compared. */
  PERIODS: 12,
  MIN_PERIOD_MS: 500,
  /** Periods up to now that show a version that turned bad late. */
  RECENT_PERIODS: 2,
  /** Weight of the old version's overall rate in that of one period, in answers. */
  PRIOR_ANSWERS: 10,
  /** Least rate of bad answers that is assumed of the old version. */
  MIN_OLD_RATE: 0.005,
  /** Bad answers without which nothing is found. */
  MIN_FAILURES: 5,
  MIN_SLOW: 8,
  /** Least part of answers that is bad. */
  MIN_FAILED_PART: 0.06,
  MIN_SLOW_PART: 0.25,
  /** Factor over what the old version would have shown. */
  MIN_RATIO: 3,
  /** Standard deviations above it. */
  MIN_DEVIATIONS: 4,
  /** Least part of the upstreams with answers that show it. */
  MIN_SPREAD_PART: 0.3,
  /** Least part of the bad answers that comes from others than the worst upstream. */
  MIN_OTHERS_PART: 0.2,
  /** Upstreams of the new version that serve the trial. */
  MIN_TRIAL_UPSTREAMS: 3,
  /** Factor over the old version's time from which an answer is slow. */
  SLOW_FACTOR: 2.5,
  /** Time beyond the old version's from which an answer is slow, in ms. */
  SLOW_SLACK_MS: 50,
} as const;
