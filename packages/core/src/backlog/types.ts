/**
 * The backlog of a customer on a route: tokens of its accepted items that have
 * no result yet.
 */

/** Record that serializes the acceptances of one customer on one route. */
export type BacklogLedger = {
  /** Upper bound of the backlog right after the last acceptance, in tokens. */
  readonly bound: number;
  /** Tokens of all jobs accepted since the record was created. */
  readonly accepted: number;
  /**
   * Revision of the configuration under which `bound` was computed; a limit may
   * not have been in force before.
   */
  readonly configRevision: number;
};

/** Open part of one job, kept in a record of its own until it is complete. */
export type JobBacklog = {
  /** Tokens of the job's items that have no result yet. */
  readonly tokens: number;
};

/** A job to be accepted, with what is known of its customer's backlog. */
export type BacklogRequest = {
  /** Sum over the job's items. */
  readonly tokens: number;
  /** Maximum backlog, in tokens; 0 means no limit. */
  readonly limit: number;
  readonly configRevision: number;
  readonly ledger: BacklogLedger | undefined;
  /**
   * Backlog measured after `ledger` was read, in tokens; undefined if it was
   * not measured.
   */
  readonly measured: number | undefined;
};

export type BacklogDecision =
  /** The job fits; its commit replaces the ledger it was decided on. */
  | { readonly kind: "accept"; readonly ledger: BacklogLedger }
  /** The backlog has to be measured before the job can be decided. */
  | { readonly kind: "measure" }
  /** The job fits once `excess` tokens have drained. */
  | { readonly kind: "over"; readonly excess: number }
  /** The job alone exceeds the limit. */
  | { readonly kind: "never" };

/** Two measurements from which the speed of a backlog's drain follows. */
export type BacklogDrain = {
  readonly firstMs: number;
  /** Tokens that had drained by then since the ledger was created. */
  readonly firstDrained: number;
  readonly lastMs: number;
  readonly lastDrained: number;
};

/** A backlog at a point in time. */
export type BacklogSample = {
  readonly atMs: number;
  readonly waiting: number;
  readonly accepted: number;
};
