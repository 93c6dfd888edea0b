/** Sizes and intervals of what is read from clients. */
export const INTAKE_CONSTANTS = {
  /** A chunk of so many bytes is kept as it is; smaller ones are copied. */
  KEPT_CHUNK_BYTES: 4_096,
  /** Blocks that small chunks are copied into, in bytes. */
  BLOCK_BYTES: 16_384,
  /** Memory that a kept chunk takes beside its bytes. */
  CHUNK_OVERHEAD: 256,
  /** Memory that a request takes beside its headers and body, in bytes. */
  REQUEST_OVERHEAD: 8_192,
  /** Requests ahead on a connection with which nothing more is read from it. */
  PAUSED_AHEAD: 16,
  /** Requests ahead with which the connection is closed. */
  MAX_AHEAD: 512,
  /** The same for connections of peers and of status pages, which send none ahead. */
  MAX_AHEAD_INSIDE: 4,
  /** Interval at which stalled bodies are looked for, in ms. */
  SWEEP_INTERVAL_MS: 1_000,
  /** Interval at which unfinished heads are counted, in ms. */
  HEAD_SWEEP_INTERVAL_MS: 100,
  /** Time in which the head of a peer's message has to arrive, in ms. */
  HEAD_TIMEOUT_MS: 5_000,
} as const;
