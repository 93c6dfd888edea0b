/** A route for jobs without a limit. */
export const JOB_ROUTE = {
  name: "r",
  host: "h",
  prefix: "/b/",
  shape: "job",
  isIdempotent: true,
  isResumable: false,
  isPublic: false,
  targets: [],
  maxAttempts: 3,
  timeoutMs: 1_000,
  objectiveMs: 300,
  priority: 0,
  dueMs: 10_000,
  retentionMs: 60_000,
  maxBacklogTokens: 0,
} as const;
