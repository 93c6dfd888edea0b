/** Times and sizes of how a configuration spreads. */
export const CONFIG_PROPAGATION = {
  /** Instances of a data centre that hold the watch of the configuration. */
  WATCHER_COUNT: 3,
  /** Patches kept for peers that are a few revisions behind. */
  MAX_KEPT_PATCHES: 16,
  /** How often watch duty and waiting offers are looked at. */
  CHECK_INTERVAL_MS: 200,
  /** How long an unanswered question to a peer stays open. */
  REQUEST_TIMEOUT_MS: 400,
  /** How long a starting instance collects offers of peers and disk. */
  START_COLLECT_MS: 1_000,
  /** How long an instance whose watch failed leaves the duty to others. */
  WATCH_BACKOFF_MS: 10_000,
} as const;
