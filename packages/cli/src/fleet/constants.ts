/** Figures of asking instances. */
export const FLEET_QUERY = {
  /** An instance that is up answers in a few ms; a cut one never does. */
  TIMEOUT_MS: 2_000,
  PATH: "/metrics",
} as const;
