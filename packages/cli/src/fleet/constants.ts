/** Parameters of metrics queries to instances. */
export const FLEET_QUERY = {
  /** A healthy instance answers in a few ms; an unreachable one never does. */
  TIMEOUT_MS: 2_000,
  PATH: "/metrics",
} as const;
