/** Figures of exchanges with upstreams. */
export const EXCHANGE = {
  /** Some round trips between data centres; a lost packet is resent later. */
  CONNECT_MS: 300,
  /** Idle connections are closed before upstreams do, in ms. */
  IDLE_MS: 4_000,
} as const;
