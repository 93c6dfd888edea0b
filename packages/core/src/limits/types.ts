/** A customer's rate and burst, as far as this instance may spend them. */
import type { InstanceId } from "../ids/types.ts";
import type { Table } from "../shared/types.ts";
import type { WorkOrder } from "../work/types.ts";

/** A bucket of `tokens` at `atMs`, refilled at `ratePerSecond` up to `cap`. */
export type Bucket = {
  readonly tokens: number;
  readonly cap: number;
  readonly ratePerSecond: number;
  readonly atMs: number;
};

/** The part of a limit that an instance holds; each between 0 and 1. */
export type Share = { readonly rate: number; readonly burst: number };

/** Tokens lent out; they lower the lender's cap until `untilMs`. */
export type Loan = { readonly tokens: number; readonly untilMs: number };

/** What a peer said that it holds. */
export type PeerLevel = {
  /** Its tokens, less one for each request that waits there. */
  readonly tokens: number;
  readonly atMs: number;
  /** Until then it counts as lost. */
  readonly silentUntilMs: number;
};

/** One customer's limit at this instance. */
export type Limit = {
  /** Requests a second over the whole fleet. */
  readonly rate: number;
  /** Requests at once over the whole fleet. */
  readonly burst: number;
  readonly share: Share;
  /** Holds the base share, less what is lent. */
  readonly bucket: Bucket;
  readonly lent: readonly Loan[];
  readonly levels: Table<PeerLevel>;
  /** Requests that arrived here since the start. */
  readonly arrived: number;
  /** Requests admitted here since the start. */
  readonly admitted: number;
};

/** A request that may wait for a token until `untilMs`. */
export type WaitingOrder = {
  readonly order: WorkOrder;
  readonly untilMs: number;
};

/** What waits for a token of this instance's base share, in order. */
export type Waiting =
  | ({ readonly kind: "order" } & WaitingOrder)
  | {
      readonly kind: "ask";
      readonly from: InstanceId;
      readonly ask: LoanAsked;
      readonly receivedMs: number;
      readonly untilMs: number;
    };

/** A request that waits for a peer's token. */
export type PendingLoanRequest = WaitingOrder & {
  readonly askId: string;
  readonly to: InstanceId;
  readonly askedMs: number;
  readonly forMs: number;
  /** Whether the peer has said that the request waits there. */
  readonly isQueued: boolean;
};

/** Asks a peer for one token. */
export type LoanAsked = {
  readonly kind: "loan-asked";
  readonly askId: string;
  readonly customer: string;
  /** How long the request may wait for the token. */
  readonly waitMs: number;
  /** How long the token may be spent once it is granted. */
  readonly forMs: number;
};

/** Answers an ask. The lender has subtracted a granted token already. */
export type LoanAnswered = {
  readonly kind: "loan-answered";
  readonly askId: string;
  readonly customer: string;
  readonly outcome: "granted" | "queued" | "refused" | "closed";
  /** How long the ask waited at the lender. */
  readonly heldMs: number;
  /** The lender's tokens, less one for each request that waits there. */
  readonly level: number;
  /** Version of the lender's record of the customer's group. */
  readonly version: number;
};
