/** The simulated load: batch items that share slots with online bursts. */
export const LOAD = {
  TICK_MS: 50,
  /** Period during which jobs arrive. */
  ARRIVALS_MS: 60_000,
  ITEMS_PER_JOB: 10,
  DUE_MS: 18_000,
  /** Mean run time of an item; run times range from 0.6 to 1.4 times this. */
  MEAN_RUN_MS: 5_500,
  RUN_SPREAD: 0.4,
  /** Weight of one item in the moving average of run times passed to orders. */
  MEAN_WEIGHT: 0.1,
  /** Slots available to items between online bursts and during them. */
  QUIET: { slots: 40, ms: 2_400 },
  BURST: { slots: 3, ms: 3_400 },
  MS_PER_SECOND: 1_000,
} as const;
