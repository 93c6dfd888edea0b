/** How it is decided that requests leave their data centre. */
export const LEAVING = {
  /** Part of a spread of independent requests that placing leaves. */
  SPREAD: 0.5,
  /** Factor of the cost at which requests begin to leave. */
  START_FACTOR: 1.5,
  /** Factor of the cost down to which they go on leaving. */
  END_FACTOR: 0.75,
  /** Halvings in the search for the share that pays. */
  SEARCH_STEPS: 8,
  /** Share below which none leaves. */
  MIN_SHARE: 0.01,
  /** Change of the share that is logged. */
  TOLD_SHARE: 0.1,
} as const;
