/**
 * Slots: the concurrency of an upstream, split between instances. One
 * instance of the upstream's data centre, the slot owner, grants them.
 */
import type { DataCentreId, InstanceId, UpstreamId } from "../ids/types.ts";
import type { Table } from "../shared/types.ts";

/** What one instance says of its use of one upstream. */
export type SlotUse = {
  readonly upstreamId: UpstreamId;
  readonly inFlight: number;
  /** Of these, those that it can't cancel. */
  readonly fixed: number;
  /** Slots that a grant of any owner allows it at present. */
  readonly slots: number;
  /** Slots wanted for online work, what is in flight included. */
  readonly onlineWant: number;
  /** Slots wanted for batch work, what is in flight included. */
  readonly batchWant: number;
  /** Number of the newest grant adopted; 0 for none of this owner. */
  readonly grantNumber: number;
  /** Whole answers since the instance started. */
  readonly successCount: number;
  /** Times that the instance saw the upstream turn cold. */
  readonly coldCount: number;
  /** Attempts there that failed since the instance started. */
  readonly errorCount: number;
  readonly bootId: string | undefined;
  /** Allowance over all instances, as last granted; 0 if unknown. */
  readonly knownAllowance: number;
  /** Time since the last sign of life, milliseconds; -1 for none. */
  readonly answerAgeMs: number;
};

/** Sent to the slot owner several times a second; also the vote for it. */
export type SlotReport = {
  readonly kind: "slot-report";
  readonly incarnation: string;
  readonly dataCentre: DataCentreId;
  /** Moment of sending, sender's clock. */
  readonly sentMs: number;
  /** Owner's moment in the newest grant message of this owner; 0: none. */
  readonly echoMs: number;
  readonly uses: readonly SlotUse[];
};

/** Slots that one instance may use at one upstream. */
export type SlotGrant = {
  readonly upstreamId: UpstreamId;
  /** Rises with each grant of an owner's term. */
  readonly number: number;
  readonly slots: number;
  /** Allowance over all instances together. */
  readonly allowance: number;
};

/** The owner's answer to a report. */
export type SlotGrants = {
  readonly kind: "slot-grants";
  /** `sentMs` of the newest report; grants hold from then on. */
  readonly reportMs: number;
  /** Moment of sending, owner's clock. */
  readonly sentMs: number;
  /** Names the owner's term; grant numbers compare within one. */
  readonly term: string;
  readonly grants: readonly SlotGrant[];
};

/** What the owner knows of one instance's use of one upstream. */
export type SlotHolder = {
  readonly instanceId: InstanceId;
  readonly use: SlotUse;
  readonly incarnation: string;
  readonly dataCentre: DataCentreId;
  readonly lastSeenMs: number;
  /** Moment of the newest report, holder's clock. */
  readonly reportMs: number;
  /** Number and size of the newest grant. */
  readonly number: number;
  readonly slots: number;
  /** Most slots that a grant not yet replaced for sure allows. */
  readonly maxSlots: number;
  /** Successes that were counted already. */
  readonly countedSuccesses: number;
  readonly countedColdStarts: number;
  readonly countedErrors: number;
};

/** The owner's account of one upstream. */
export type SlotLedger = {
  readonly holders: Table<SlotHolder>;
  /** Successes since the ramp started. */
  readonly successes: number;
  /** Allowance at which the ramp started. */
  readonly rampStart: number;
  readonly bootIds: readonly string[];
  /** Moment of the last sign of life that any holder told of. */
  readonly lastAnswerMs: number;
  /** Moment of the last failure; in doubt until a later sign of life. */
  readonly lastErrorMs: number;
};

/** Whom this instance reports to in one data centre. */
export type OwnerLink = {
  readonly ownerId: InstanceId;
  readonly sinceMs: number;
  /** Instances of another data centre that were passed over. */
  readonly skip: number;
  readonly term: string;
  readonly lastSeenMs: number;
  /** Owner's moment in its newest grants. */
  readonly echoMs: number;
};

/** A grant on its way to its holder. */
export type HolderGrant = {
  readonly to: InstanceId;
  readonly reportMs: number;
  readonly isChanged: boolean;
  readonly grant: SlotGrant;
};

export type SlotState = {
  /** Links by data centre. */
  readonly links: Table<OwnerLink>;
  /** No vote for another owner before this moment. */
  readonly voteLockedUntilMs: number;
  /** Undefined before the first report. */
  readonly lastReportMs: number | undefined;
  /** Set where the owner should hear of a change at once. */
  readonly isReportDue: boolean;
  /** Owner's moment that the newest vote of each instance echoes. */
  readonly votes: Table<number>;
  /** Start of the present term; undefined while not the owner. */
  readonly ownerSinceMs: number | undefined;
  readonly grantCount: number;
  readonly ledgers: Table<SlotLedger>;
};
