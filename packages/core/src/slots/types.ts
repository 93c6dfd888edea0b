/**
 * Slots divide the concurrency of an upstream among instances. One instance of
 * the upstream's data centre, the slot owner, grants them.
 */
import type { DataCentreId, InstanceId, UpstreamId } from "../ids/types.ts";
import type { Table } from "../shared/types.ts";

/** One instance's report of its use of one upstream. */
export type SlotUse = {
  readonly upstreamId: UpstreamId;
  readonly inFlight: number;
  /** Attempts in flight that can't be cancelled to yield their slots. */
  readonly fixed: number;
  /** Slots currently allowed by a grant of any owner. */
  readonly slots: number;
  /** Slots wanted for online work, including attempts in flight. */
  readonly onlineWant: number;
  /** Slots wanted for batch work, including attempts in flight. */
  readonly batchWant: number;
  /** Number of the newest grant adopted from this owner; 0 for none. */
  readonly grantNumber: number;
  /** Complete responses since the instance started. */
  readonly successCount: number;
  /** How often the instance has seen the upstream become cold. */
  readonly coldCount: number;
  /** Failed attempts at the upstream since the instance started. */
  readonly errorCount: number;
  readonly bootId: string | undefined;
  /** Allowance over all instances according to the last grant; 0 if unknown. */
  readonly knownAllowance: number;
  /** Milliseconds since the last response of the upstream; -1 for none. */
  readonly answerAgeMs: number;
};

/** Sent to the slot owner several times per second; also counts as a vote. */
export type SlotReport = {
  readonly kind: "slot-report";
  readonly incarnation: string;
  readonly dataCentre: DataCentreId;
  /** Send time by the sender's clock. */
  readonly sentMs: number;
  /** `sentMs` of the newest grants message of this owner; 0 for none. */
  readonly echoMs: number;
  readonly uses: readonly SlotUse[];
};

/** Slots that one instance may use at one upstream. */
export type SlotGrant = {
  readonly upstreamId: UpstreamId;
  /** Increases with each grant in an owner's term. */
  readonly number: number;
  readonly slots: number;
  /** Slots over all instances that the upstream's ramp has reached. */
  readonly allowance: number;
};

/** The owner's answer to a report. */
export type SlotGrants = {
  readonly kind: "slot-grants";
  /** `sentMs` of the newest report, from which the grants are valid. */
  readonly reportMs: number;
  /** Send time by the owner's clock. */
  readonly sentMs: number;
  /** Id of the owner's term; grant numbers are comparable only within one. */
  readonly term: string;
  readonly grants: readonly SlotGrant[];
};

/** The owner's view of one instance's use of one upstream. */
export type SlotHolder = {
  readonly instanceId: InstanceId;
  readonly use: SlotUse;
  readonly incarnation: string;
  readonly dataCentre: DataCentreId;
  readonly lastSeenMs: number;
  /** Send time of the newest report by the holder's clock. */
  readonly reportMs: number;
  /** Number and size of the newest grant. */
  readonly number: number;
  readonly slots: number;
  /** Maximum slots of all grants that the holder may still be using. */
  readonly maxSlots: number;
  /** Successes already added to the ramp. */
  readonly countedSuccesses: number;
  readonly countedColdStarts: number;
  readonly countedErrors: number;
};

/** The owner's ledger of one upstream. */
export type SlotLedger = {
  readonly holders: Table<SlotHolder>;
  /** Successes since the ramp started. */
  readonly successes: number;
  /** Allowance at which the ramp started. */
  readonly rampStart: number;
  readonly bootIds: readonly string[];
  /** Time of the last response that any holder reported. */
  readonly lastResponseMs: number;
  /**
   * When a failure was last reported. The allowance is then at most 1 until the
   * next response.
   */
  readonly lastErrorMs: number;
};

/** The slot owner that this instance reports to in one data centre. */
export type OwnerLink = {
  readonly ownerId: InstanceId;
  readonly sinceMs: number;
  /** Number of instances passed over in another data centre. */
  readonly skip: number;
  readonly term: string;
  readonly lastSeenMs: number;
  /** `sentMs` of the owner's newest grants message. */
  readonly echoMs: number;
};

/** A grant to be sent to its holder. */
export type HolderGrant = {
  readonly to: InstanceId;
  readonly reportMs: number;
  readonly isChanged: boolean;
  readonly grant: SlotGrant;
};

export type SlotState = {
  /** Links by data centre. */
  readonly links: Table<OwnerLink>;
  /** Time before which this instance can't vote for another owner. */
  readonly voteLockedUntilMs: number;
  /** Undefined before the first report. */
  readonly lastReportMs: number | undefined;
  /** Whether a change has to be reported to the owner without delay. */
  readonly isReportDue: boolean;
  /** `echoMs` of the newest vote, by instance. */
  readonly votes: Table<number>;
  /** Start of the current term; undefined while not the owner. */
  readonly ownerSinceMs: number | undefined;
  readonly grantCount: number;
  readonly ledgers: Table<SlotLedger>;
};
