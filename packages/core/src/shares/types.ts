/** Division of fleet-wide limits into base shares stored in the platform. */
import type { InstanceId } from "../ids/types.ts";
import type { Share } from "../limits/types.ts";
import type { Table } from "../shared/types.ts";

/** A base share, valid only for the instance registered with this number. */
export type ShareEntry = Share & { readonly number: number };

/** Base shares of one limit, by instance. */
export type ShareTable = Table<ShareEntry>;

/** The platform record of a group of customers, with their shares. */
export type GroupRecord = {
  readonly writer: string;
  /** Increases with each write; 1 for the first. */
  readonly count: number;
  readonly limits: Table<ShareTable>;
};

/** A group as last read; the version is 0 if it has no record yet. */
export type Group = { readonly version: number; readonly record: GroupRecord };

/** Limits on this instance's shares, in force for one version of a record. */
export type ShareReduction = {
  readonly version: number;
  readonly shares: Table<Share>;
};

/** The planned division, by customer and instance. */
export type Plan = Table<ShareTable>;

/** A live instance that is eligible to hold shares. */
export type Holder = {
  readonly instanceId: string;
  readonly dataCentre: string;
  readonly number: number;
};

/** A holder's answer, due once no lent token counts against its shares. */
export type PendingReductionAnswer = {
  readonly to: InstanceId;
  readonly dueMs: number;
  readonly message: ShareReductionAnswer;
};

/** A rebalance in progress at the group's share coordinator. */
export type Rebalance =
  /** The list of instances was requested from the platform. */
  | { readonly phase: "listing" }
  /** Holders were asked to reduce the shares that are to move. */
  | {
      readonly phase: "lowering";
      readonly version: number;
      readonly untilMs: number;
      readonly plan: Plan;
      /** Instances whose answers are pending. */
      readonly open: readonly string[];
      /** Shares that holders agreed to keep, by instance and customer. */
      readonly kept: Table<Table<Share>>;
    }
  | { readonly phase: "writing" };

export type SharesState = {
  /** By group id; absent until read. */
  readonly groups: Table<Group>;
  readonly reductions: Table<ShareReduction>;
  /** Requests per second by customer and instance, as reported to this one. */
  readonly demandReports: Table<Table<number>>;
  /** Arrival counts by customer at the last demand report. */
  readonly reportedArrivals: Table<number>;
  readonly rebalances: Table<Rebalance>;
  readonly nextPollMs: number;
  /** Group to read next because a peer knows a newer record of it. */
  readonly staleGroup: string | undefined;
  readonly pollCount: number;
  readonly nextReportMs: number;
  readonly nextTakeOverMs: number;
  /** Time since which no earlier incarnation can be confirmed by peers. */
  readonly unconfirmedSinceMs: number | undefined;
  readonly nextCoordinationMs: number;
  /** By group id; a group without an entry is due immediately. */
  readonly nextRebalanceMs: Table<number>;
  readonly loanRequestCount: number;
  /** Round trip of the last loan request answered by each peer. */
  readonly roundTripsMs: Table<number>;
  readonly writeCount: number;
  /** Answers that wait until the loans against the shares have expired. */
  readonly answers: readonly PendingReductionAnswer[];
  /** Time until which a holder that did not answer is skipped, by instance. */
  readonly unresponsiveUntilMs: Table<number>;
  /** "done" once a stopping instance holds no base shares. */
  readonly handBack: "none" | "pending" | "done";
};

/** Reports the arriving requests per second to a group's share coordinator. */
export type DemandReport = {
  readonly kind: "demand-reported";
  readonly group: string;
  readonly demand: Table<number>;
};

/** Requests that a holder keep at most `shares` while `version` is current. */
export type ShareReductionRequest = {
  readonly kind: "share-lower-asked";
  readonly group: string;
  readonly version: number;
  readonly shares: Table<Share>;
};

/** Confirms the shares that a holder keeps and is already limited to. */
export type ShareReductionAnswer = {
  readonly kind: "share-lowered";
  readonly group: string;
  readonly version: number;
  readonly shares: Table<Share>;
};

/** Requests all group records that a peer knows. */
export type SharesRequest = { readonly kind: "shares-asked" };

/** Notifies holders of a new record of their group. */
export type SharesWritten = {
  readonly kind: "shares-written";
  readonly group: string;
  readonly version: number;
  readonly value: string;
};
