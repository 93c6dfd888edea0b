/** Limits of a configuration under which no caller is served, for workers. */
export const SMALL_LIMITS = {
  headerBytes: 1,
  bodyBytes: 1,
  headerTimeoutMs: 1,
  idleTimeoutMs: 1,
} as const;
