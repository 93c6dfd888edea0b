/** How the base shares of fleet-wide limits stand in the platform. */
import type { InstanceId } from "../ids/types.ts";
import type { Share } from "../limits/types.ts";
import type { Table } from "../shared/types.ts";

/** A base share, held by the instance of this number only. */
export type ShareEntry = Share & { readonly number: number };

/** The base shares of one limit, by instance. */
export type ShareTable = Table<ShareEntry>;

/** Value of a platform record: the shares of a group of customers. */
export type GroupRecord = {
  readonly writer: string;
  /** Rises with each write; 1 for the first. */
  readonly count: number;
  readonly limits: Table<ShareTable>;
};

/** A group as last read, with the version of its record; 0 for none yet. */
export type Group = { readonly version: number; readonly record: GroupRecord };

/** Shares that this instance has given up while a record has a version. */
export type Lowered = {
  readonly version: number;
  readonly shares: Table<Share>;
};

/** The division that is wanted, by customer and instance. */
export type Plan = Table<ShareTable>;

/** A live instance that may hold shares. */
export type Holder = {
  readonly instanceId: string;
  readonly dataCentre: string;
  readonly number: number;
};

/** An answer of a holder, due once no token is lent against it. */
export type LoweredAnswer = {
  readonly to: InstanceId;
  readonly dueMs: number;
  readonly message: ShareLowered;
};

/** A division of shares that the group's duty holder is carrying out. */
export type Rebalance =
  /** The platform's list of instances was asked for. */
  | { readonly phase: "listing" }
  /** Holders were asked to give up what others shall get. */
  | {
      readonly phase: "lowering";
      readonly version: number;
      readonly untilMs: number;
      readonly plan: Plan;
      /** Instances that have not answered yet. */
      readonly open: readonly string[];
      /** What holders agreed to keep, by instance and customer. */
      readonly kept: Table<Table<Share>>;
    }
  | { readonly phase: "writing" };

export type SharesState = {
  /** By group id; absent until it was read. */
  readonly groups: Table<Group>;
  readonly lowered: Table<Lowered>;
  /** Requests a second by customer and instance, told to a duty holder. */
  readonly reports: Table<Table<number>>;
  /** Arrivals by customer at the last report. */
  readonly reported: Table<number>;
  readonly rebalances: Table<Rebalance>;
  readonly nextPollMs: number;
  /** Group to read next, since a peer knows a newer record of it. */
  readonly staleGroup: string | undefined;
  readonly pollCount: number;
  readonly nextReportMs: number;
  readonly nextTakeOverMs: number;
  /** Since when no earlier incarnation of the name can be confirmed. */
  readonly clearMs: number | undefined;
  readonly nextDutyMs: number;
  /** By group id; absent for at once. */
  readonly nextRebalanceMs: Table<number>;
  readonly askCount: number;
  /** Time that a peer's last answer to an ask took, by instance. */
  readonly roundTripsMs: Table<number>;
  readonly writeCount: number;
  /** Answers that wait until what was lent has lapsed. */
  readonly answers: readonly LoweredAnswer[];
  /** Holders that gave no answer, by instance, and until when to skip them. */
  readonly mute: Table<number>;
  /** "done" once a stopping instance holds no base share any more. */
  readonly handBack: "none" | "pending" | "done";
};

/** Tells a group's duty holder how many requests a second arrive. */
export type DemandReported = {
  readonly kind: "demand-reported";
  readonly group: string;
  readonly demand: Table<number>;
};

/** Asks a holder to keep no more than `shares` while `version` stands. */
export type ShareLowerAsked = {
  readonly kind: "share-lower-asked";
  readonly group: string;
  readonly version: number;
  readonly shares: Table<Share>;
};

/** Says what the holder keeps; it spends no more than that already. */
export type ShareLowered = {
  readonly kind: "share-lowered";
  readonly group: string;
  readonly version: number;
  readonly shares: Table<Share>;
};

/** Asks a peer for the records that it knows. */
export type SharesAsked = { readonly kind: "shares-asked" };

/** Tells holders of a new record of their group. */
export type SharesWritten = {
  readonly kind: "shares-written";
  readonly group: string;
  readonly version: number;
  readonly value: string;
};
