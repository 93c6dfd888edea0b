/** Timeouts and sizes of configuration propagation. */
export const CONFIG_PROPAGATION = {
  /** Instances per data centre that watch the configuration in the store. */
  WATCHER_COUNT: 3,
  /** Patches retained for peers that are a few revisions behind. */
  MAX_KEPT_PATCHES: 16,
  /** Interval between checks of the watcher role and of pending offers. */
  CHECK_INTERVAL_MS: 200,
  /** Time after which an unanswered request to a peer may be repeated. */
  REQUEST_TIMEOUT_MS: 400,
  /** How long a starting instance collects offers from peers and disk. */
  START_COLLECT_MS: 1_000,
  /** How long other watchers are preferred after a failed watch. */
  WATCH_BACKOFF_MS: 10_000,
} as const;
