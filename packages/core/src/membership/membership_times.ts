/** Times of heartbeats and fences. */
export const MEMBERSHIP_TIMES = {
  /** Between heartbeats in a data centre of up to five instances. */
  HEARTBEAT_INTERVAL_MS: 250,
  /** Each instance beyond five makes heartbeats this much rarer. */
  HEARTBEAT_STEP_MS: 50,
  /** Without contact for this long a holder stops spending its shares. */
  FENCE_MS: 3_000,
  /** A mover's wait: the fence, clock drift and one step's delay. */
  FENCE_WAIT_MS: 3_200,
  /** A longer gap between two steps voids all earlier contact. */
  MAX_STEP_GAP_MS: 1_000,
  /** Between proofs while the peers don't confirm this instance. */
  VERIFY_INTERVAL_MS: 750,
  /** Between proofs while the peers confirm it. */
  CONFIRMED_VERIFY_INTERVAL_MS: 30_000,
  /** A member that has been silent for this long is taken for lost. */
  SILENT_MS: 1_500,
} as const;
