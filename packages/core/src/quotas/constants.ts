/** Figures of fleet-wide quotas. */
export const QUOTAS = {
  /** A peer unheard for this long is left its static part of the rate. */
  SILENT_MS: 700,
  /** An instance that runs for less has not seen a whole window, in ms. */
  YOUNG_MS: 2_000,
  /** A peer that left the list keeps its part this long: it may be cut off. */
  FENCE_MS: 20_000,
} as const;
