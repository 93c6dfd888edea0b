/** Timeouts and retry delays of requests. */
export const REQUESTS = {
  /**
   * Longest expected queue wait at which a request is still sent to an
   * upstream, in ms.
   */
  MAX_QUEUE_WAIT_MS: 1_200,
  /** Share of the route's latency objective allowed for the response head. */
  HEAD_TIMEOUT_SHARE: 0.5,
  /** Minimum time allowed for the response head, in ms. */
  MIN_HEAD_TIMEOUT_MS: 120,
  /** Pause after which a resumable stream moves to another upstream, in ms. */
  RESUMABLE_STALL_TIMEOUT_MS: 220,
  /** Pause after which a response that can't be moved is abandoned, in ms. */
  STALL_TIMEOUT_MS: 4_000,
  MIN_RETRY_AFTER_MS: 60,
  MAX_RETRY_AFTER_MS: 1_500,
  /** Retry delay for callers when no upstream is available, in ms. */
  NO_UPSTREAM_RETRY_MS: 500,
  /** Why a request is refused for which no instance has a path. */
  NO_PATH: "no instance that takes the request reaches upstreams",
  /** Why a request is refused or ended in a planned stop. */
  STOPPING: "this instance is stopping",
  /** Deadline of requests whose caller sets none, in ms. */
  DEFAULT_DEADLINE_MS: 30_000,
  /** Why a stream's upstream is given up, by what its last bytes were. */
  DROP_REASONS: {
    "out-of-order": "events out of order",
    "too-long": "an event is too long",
  },
} as const;
