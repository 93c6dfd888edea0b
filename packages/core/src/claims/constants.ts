/** Sizes and times of the claims of non-idempotent requests. */
export const CLAIMS = {
  /** Groups that keys are spread over; each has one home instance. */
  GROUP_COUNT: 16,
  /** Least time between two writes of a group. */
  FLUSH_INTERVAL_MS: 200,
  /** Claims in one record; a full one is closed and the next one begun. */
  MAX_CLAIMS_PER_RECORD: 5_000,
  /** How long a key is remembered. */
  RETENTION_MS: 86_400_000,
  /** An asker tries the next home after this, and then again. */
  RETRY_INTERVAL_MS: 500,
  /** A home forgets a claim that was not asked again for so long. */
  PENDING_TIMEOUT_MS: 1_200,
  /** A home tries for so long to take a claim back. */
  RELEASE_TIMEOUT_MS: 60_000,
  /** An asker without an answer refuses the request after this. */
  CLAIM_TIMEOUT_MS: 3_000,
  /** Digits of a record's number in its key. */
  RECORD_NUMBER_DIGITS: 6,
} as const;
