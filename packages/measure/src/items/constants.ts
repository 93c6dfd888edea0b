/** The played load: one pool of items beside online bursts. */
export const LOAD = {
  TICK_MS: 50,
  /** Jobs come for this long. */
  ARRIVALS_MS: 60_000,
  JOB_ITEMS: 10,
  DUE_MS: 18_000,
  /** Mean run of an item; runs last from 0.6 to 1.4 of it. */
  RUN_MS: 5_500,
  RUN_SPREAD: 0.4,
  /** Weight of one item in the mean that orders are told. */
  MEAN_WEIGHT: 0.1,
  /** Slots for items between online bursts, and within them. */
  QUIET: { slots: 40, ms: 2_400 },
  BURST: { slots: 3, ms: 3_400 },
  MS_PER_SECOND: 1_000,
} as const;
