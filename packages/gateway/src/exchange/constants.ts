/** Figures of exchanges with upstreams. */
export const EXCHANGE = {
  /** Many round trips between data centres, and short beside an objective. */
  CONNECT_TIMEOUT_MS: 120,
  /** Idle connections are closed before upstreams do, in ms. */
  IDLE_TIMEOUT_MS: 4_000,
} as const;
