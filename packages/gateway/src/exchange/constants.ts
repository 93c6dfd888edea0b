/** Timeouts of exchanges with upstreams. */
export const EXCHANGE = {
  /**
   * Connect timeout, in ms: many round trips between data centres, yet short
   * compared to a latency objective.
   */
  CONNECT_TIMEOUT_MS: 120,
  /**
   * Time after which idle connections are closed, shorter than the upstreams'
   * own timeout, in ms.
   */
  IDLE_TIMEOUT_MS: 4_000,
} as const;
