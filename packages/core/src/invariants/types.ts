/** Invariants that are checked at run time. */
export type InvariantName =
  | "item-completes-once"
  | "cancelled-job-stops"
  | "online-never-waits-behind-batch"
  | "runs-for-own-customer"
  | "within-rate-and-burst"
  | "ramp-is-kept"
  | "leaving-gets-no-work"
  | "whole-answer-to-own-request"
  | "not-run-is-true"
  | "non-idempotent-runs-once"
  | "planned-stop-cuts-nothing"
  | "revision-never-reverts"
  | "silence-costs-one-timeout"
  | "shares-within-limit"
  | "chart-arrow-exists";
