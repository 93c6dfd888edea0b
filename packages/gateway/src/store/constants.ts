/** Figures of watches on the metadata store. */
export const WATCHING = {
  /** A silent connection of a watch is noticed this much later, in ms. */
  WAIT_MS: 2_000,
  FIRST_RETRY_MS: 50,
  MAX_RETRY_MS: 800,
} as const;
