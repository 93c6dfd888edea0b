/** Timeouts and limits of exchanges with upstreams. */
export const EXCHANGE = {
  /**
   * Connect timeout, in ms: many round trips between data centres, yet short
   * compared to a latency objective.
   */
  CONNECT_TIMEOUT_MS: 120,
  /**
   * Time in which a process that ends stops listening after its connections have
   * ended, in ms.
   */
  PROCESS_END_MS: 20,
  /**
   * Time after which idle connections are closed, shorter than the upstreams'
   * own timeout, in ms.
   */
  IDLE_TIMEOUT_MS: 4_000,
  /** Longest answer that is held until it is whole, in bytes. */
  MAX_ANSWER_BYTES: 8 * 1_024 * 1_024,
  /**
   * All answers that are held at the same time, in bytes: well below the memory
   * of a small machine.
   */
  MAX_HELD_BYTES: 32 * 1_024 * 1_024,
  /** An answer may hold as much as this whatever others hold, in bytes. */
  MIN_ANSWER_BYTES: 64 * 1_024,
  /** Longest event of a stream, in bytes. */
  MAX_EVENT_BYTES: 256 * 1_024,
  /** Requests whose answers a connection remembers. */
  MAX_ANSWERED_IDS: 64,
  /** Longest id that it remembers, in characters. */
  MAX_ANSWERED_ID_LENGTH: 256,
  /** Longest body of a refusal that is read to keep the connection, in bytes. */
  MAX_REFUSAL_BYTES: 64 * 1_024,
  /** Time in which such a body has to end, in ms. */
  REFUSAL_TIMEOUT_MS: 1_000,
} as const;
