/** Times and sizes of how instances hear of each other. */
export const MEMBERSHIP = {
  /** A member not heard of for this long counts as absent for duties. */
  LIVENESS_TIMEOUT_MS: 2_000,
  /** Instances of a data centre that speak to the other data centres. */
  DELEGATE_COUNT: 2,
  /** How often a delegate speaks to each other data centre. */
  DELEGATE_INTERVAL_MS: 1_000,
  /** A delegate heard of within this time is preferred by the other side. */
  DELEGATE_TIMEOUT_MS: 5_000,
  /** A silent member that the platform no longer lists is dropped then. */
  REMOVAL_MS: 60_000,
} as const;
