/** Sizes and timeouts of the claims of non-idempotent requests. */
export const CLAIMS = {
  /** Number of groups that claim keys are hashed into, each with one owner. */
  GROUP_COUNT: 16,
  /** Minimum interval between two writes of a group. */
  FLUSH_INTERVAL_MS: 200,
  /** A record with this many claims is closed and a new one started. */
  MAX_CLAIMS_PER_RECORD: 5_000,
  /** Lease time of a record, and so how long its claims are retained. */
  RETENTION_MS: 86_400_000,
  /** An unanswered claim request goes to the next owner after this interval. */
  RETRY_INTERVAL_MS: 500,
  /** A group owner drops pending claims not requested again in this time. */
  PENDING_TIMEOUT_MS: 1_200,
  /** How long a group owner keeps trying to release a claim. */
  RELEASE_TIMEOUT_MS: 60_000,
  /** A request is refused when its claim is unanswered for this long. */
  CLAIM_TIMEOUT_MS: 3_000,
  /** Zero-padded width of the record number in a record's key. */
  RECORD_NUMBER_DIGITS: 6,
} as const;
