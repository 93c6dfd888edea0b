/** Times and sizes of how a configuration spreads. */
export const CONFIG_PROPAGATION = {
  /** Instances of a data centre that hold the watch of the configuration. */
  WATCHERS: 3,
  /** Patches kept for peers that are a few revisions behind. */
  KEPT_PATCHES: 16,
  /** How often watch duty and waiting offers are looked at. */
  CHECK_MS: 200,
  /** How long an unanswered question to a peer stays open. */
  ASK_RETRY_MS: 400,
  /** How long a starting instance collects offers of peers and disk. */
  START_WAIT_MS: 1_000,
  /** How long an instance whose watch failed leaves the duty to others. */
  WATCH_BROKEN_MS: 10_000,
} as const;
