/** Token buckets and loans that enforce fleet-wide customer limits. */
import type { InstanceId } from "../ids/types.ts";
import type { Table } from "../shared/types.ts";
import type { WorkOrder } from "../work/types.ts";

/**
 * A token bucket that holds `tokens` at `atMs` and refills at `ratePerSecond`
 * up to `cap`.
 */
export type Bucket = {
  readonly tokens: number;
  readonly cap: number;
  readonly ratePerSecond: number;
  readonly atMs: number;
};

/** The fractions of a limit that an instance holds; each between 0 and 1. */
export type Share = { readonly rate: number; readonly burst: number };

/** Tokens lent to a peer; they reduce the lender's cap until `untilMs`. */
export type Loan = { readonly tokens: number; readonly untilMs: number };

/** The token level that a peer last reported. */
export type PeerLevel = {
  /** Tokens of the peer, minus one for each request waiting there. */
  readonly tokens: number;
  readonly atMs: number;
  /** Until this time the peer is not asked for loans. */
  readonly unresponsiveUntilMs: number;
};

/** One customer's limit at this instance. */
export type Limit = {
  /** Requests per second across the fleet. */
  readonly rate: number;
  /** Maximum burst of requests across the fleet. */
  readonly burst: number;
  readonly share: Share;
  /** Bucket of the base share, minus tokens lent out. */
  readonly bucket: Bucket;
  readonly loans: readonly Loan[];
  readonly peerLevels: Table<PeerLevel>;
  /** Requests received by this instance since it started. */
  readonly arrived: number;
  /** Requests admitted by this instance since it started. */
  readonly admitted: number;
};

/** A request that may wait for a token until `untilMs`. */
export type WaitingOrder = {
  readonly order: WorkOrder;
  readonly untilMs: number;
};

/** An entry in the queue for tokens of this instance's base share. */
export type TokenQueueEntry =
  | ({ readonly kind: "order" } & WaitingOrder)
  | {
      readonly kind: "ask";
      readonly from: InstanceId;
      readonly request: LoanRequest;
      readonly receivedMs: number;
      readonly untilMs: number;
    };

/** A request for which a loan request to a peer is in flight. */
export type PendingLoanRequest = WaitingOrder & {
  readonly askId: string;
  readonly to: InstanceId;
  readonly requestedMs: number;
  readonly forMs: number;
  /** Whether the peer answered that it queued the request. */
  readonly isQueued: boolean;
};

/** Requests the loan of one token from a peer. */
export type LoanRequest = {
  readonly kind: "loan-asked";
  readonly askId: string;
  readonly customer: string;
  /** Maximum time that the request may wait for the token. */
  readonly waitMs: number;
  /** How long a granted token remains valid. */
  readonly forMs: number;
};

/** Answers a loan request. The lender has already deducted a granted token. */
export type LoanAnswer = {
  readonly kind: "loan-answered";
  readonly askId: string;
  readonly customer: string;
  readonly outcome: "granted" | "queued" | "refused" | "closed";
  /** How long the loan request was queued at the lender. */
  readonly heldMs: number;
  /** The lender's tokens, minus one for each request waiting there. */
  readonly level: number;
  /** Version of the customer's group record known to the lender. */
  readonly version: number;
};
