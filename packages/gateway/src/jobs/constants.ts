import { BATCHES } from "@gooseberryline/core";

/** The ledger of a customer's backlog, as a precondition and as a change. */
const LEDGER_ENTRIES = 2;

/** Intervals, timeouts and limits of batch jobs. */
export const JOB_CONSTANTS = {
  /** Interval at which waiting items are placed, in ms. */
  TICK_MS: 50,
  /** Load reports of peers within this time are handled together, in ms. */
  YIELD_DEBOUNCE_MS: 5,
  /** Window of the per-upstream start limit, in ms; peers know older starts. */
  START_WINDOW_MS: 150,
  /** Timeout for an upstream's response head to an item, in ms. */
  RESPONSE_HEAD_TIMEOUT_MS: 4_000,
  /** Timeout between chunks of an upstream's response to an item, in ms. */
  STREAM_IDLE_TIMEOUT_MS: 2_000,
  /** Deadline sent to an upstream for a complete item, in ms. */
  RUN_TIMEOUT_MS: 60_000,
  /** Mean run time assumed until an item has completed, in ms. */
  INITIAL_MEAN_RUN_MS: 4_000,
  /** Weight of one completed item in the moving average of run times. */
  MEAN_RUN_WEIGHT: 0.1,
  /** Interval at which expired jobs are removed, in ms. */
  SWEEP_INTERVAL_MS: 60_000,
  /** Delay before a failed item is retried, in ms. */
  ITEM_RETRY_DELAY_MS: 250,
  /** Delay before an item that could not be sent is tried again, in ms. */
  UNBUILT_RETRY_DELAY_MS: 2_000,
  /** Delay before a failed or unanswered write is retried, in ms. */
  WRITE_RETRY_DELAY_MS: 200,
  /** Interval at which a write that has to end is looked at, in ms. */
  WRITE_CHECK_MS: 20,
  /** Longest time to list what is finished before a job is handed over, in ms. */
  PERSIST_TIMEOUT_MS: 1_000,
  /** Age after which readers may have seen an unanswered write, in ms. */
  UNCERTAIN_WRITE_MS: 200,
  /** Age after which an owner's reported result count expires, in ms. */
  RESULT_COUNT_MAX_AGE_MS: 600,
  /** Time for which the count of a finished job is still reported, in ms. */
  RESULT_COUNT_REPORT_MS: 3_000,
  /** Attempts to accept or end a job before the caller gets an error. */
  MAX_ACCEPT_ATTEMPTS: 3,
  /** Entries of a job's commit, those of the ledger aside. */
  MAX_ACCEPT_ENTRIES: BATCHES.MAX_COMMIT_ENTRIES - LEDGER_ENTRIES,
  /**
   * Times that another instance may accept a job of the same customer first,
   * before the caller gets an error.
   */
  MAX_LEDGER_CONFLICTS: 100,
  /** Maximum delay before a job is committed on a changed ledger, in ms. */
  LEDGER_RETRY_DELAY_MS: 10,
  /** Longest output of an item, in characters, which bounds what a run holds. */
  MAX_TEXT_LENGTH: 512 * 1_024,
  /**
   * Largest output of an item as encoded in its result, in bytes: the result fits
   * into a record of the store and into one response.
   */
  MAX_TEXT_BYTES: 960_000,
  /** Jobs that each in-memory cache holds for readers. */
  MAX_CACHED_JOBS: 2_000,
} as const;
