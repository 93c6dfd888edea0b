/** Figures of requests. */
export const REQUESTS = {
  /** Longest wait in an upstream's queue that is still offered, in ms. */
  MAX_QUEUE_WAIT_MS: 1_200,
  /** Share of the objective that an answer's head is awaited for. */
  HEAD_TIMEOUT_SHARE: 0.5,
  /** Shortest such time, in ms. */
  MIN_HEAD_TIMEOUT_MS: 120,
  /** A resumable stream is moved after a pause this long, in ms. */
  RESUMABLE_STALL_TIMEOUT_MS: 220,
  /** A stream that can't be moved is given up after such a pause, in ms. */
  STALL_TIMEOUT_MS: 4_000,
  MIN_RETRY_AFTER_MS: 60,
  MAX_RETRY_AFTER_MS: 1_500,
  /** Without any upstream, callers come back after this, in ms. */
  NO_UPSTREAM_RETRY_MS: 500,
  /** Without a deadline of the caller's own, in ms. */
  DEFAULT_DEADLINE_MS: 30_000,
} as const;
