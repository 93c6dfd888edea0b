/** Types of batch jobs: many items with one due time, split into segments. */
import type {
  CustomerId,
  InstanceId,
  JobId,
  KeyId,
  ProfileName,
  ServiceName,
} from "../ids/types.ts";
import type { Table } from "../shared/types.ts";

/** Immutable description of a job, set when the job is accepted. */
export type JobSpec = {
  readonly jobId: JobId;
  readonly customer: CustomerId;
  readonly keyId: KeyId | undefined;
  readonly profile: ProfileName;
  readonly service: ServiceName;
  readonly isIdempotent: boolean;
  readonly itemCount: number;
  /** Expected cost of one item, in tokens. */
  readonly itemCostTokens: number;
  readonly createdMs: number;
  readonly dueMs: number;
  /** Instances whose disks hold the input. */
  readonly inputDisks: readonly InstanceId[];
  /** Distinguishes a resent job from a different input under the same name. */
  readonly inputHash: string;
  /** Further attributes that the caller API returns for the job. */
  readonly about: Readonly<Record<string, unknown>>;
};

/** Sorted ranges of item offsets in a segment, both ends inclusive. */
export type Ranges = readonly (readonly [number, number])[];

/** Results that one owner stored in one file, replicated on the same disks. */
export type SegmentPart = {
  readonly blobId: string;
  readonly disks: readonly InstanceId[];
  readonly done: Ranges;
  /** Subset of `done` that ended with an error. */
  readonly failed: Ranges;
};

/** Store record of a segment, under the key `segments/<job>/<n>`. */
export type SegmentRecord = {
  readonly state: "open" | "done" | "closed";
  /** Current owner, or empty after a release. */
  readonly owner: InstanceId | "";
  readonly incarnation: string;
  /** Fencing number, incremented with each change of owner. */
  readonly fence: number;
  /** Incremented with each write of this owner. */
  readonly count: number;
  readonly parts: readonly SegmentPart[];
  /** Offsets of non-idempotent items that may have been started. */
  readonly intents: Ranges;
};

/** A segment that this instance owns or is claiming. */
export type Segment = {
  readonly jobId: JobId;
  readonly number: number;
  /** Job index of the segment's first item. */
  readonly first: number;
  /** Current state in `charts/segment.json`. */
  readonly phase: string;
  /** State of each item, as a code of `ITEM_STATES`. */
  readonly items: readonly number[];
  /** Offset of the first item that may be startable. */
  readonly cursor: number;
  /** Number of earlier attempts of requeued items, by offset. */
  readonly attemptCounts: Table<number>;
  readonly parts: readonly SegmentPart[];
  readonly intents: Ranges;
  readonly fence: number;
  readonly count: number;
  /** Last known version of the record, or 0 if there is none. */
  readonly version: number;
  /** Time at which the last confirmed write or read was requested. */
  readonly confirmedAtMs: number;
  readonly requestedAtMs: number;
  readonly lastWriteAtMs: number;
  /** Time at which the oldest uncommitted result was stored. */
  readonly oldestUncommittedAtMs: number | undefined;
  readonly uncommittedCount: number;
  readonly isCallPending: boolean;
  /**
   * Set after an unanswered write: the record must be read before the next
   * write.
   */
  readonly mustReadBack: boolean;
  readonly isOffline: boolean;
  readonly retryAtMs: number;
  readonly pausedUntilMs: number;
};

export type JobPhase =
  | "in_progress"
  | "finalizing"
  | "cancelling"
  | "completed"
  | "cancelled";

/** Disks of a job's output and error files, and the number of lines in each. */
export type JobOutput = {
  readonly disks: readonly InstanceId[];
  readonly completed: number;
  readonly failed: number;
  readonly endedMs: number;
};

/** Store record of a job, under the key `jobs/<customer>/<job>`. */
export type JobRecord = {
  readonly spec: JobSpec;
  readonly phase: JobPhase;
  /**
   * Incarnation of the instance that builds the job's files once all items have
   * ended.
   */
  readonly finalizer?: string;
  readonly output?: JobOutput;
};

/** This instance's view of a job that has not ended. */
export type Job = {
  readonly record: JobRecord;
  readonly version: number;
  /** Time at which this version, or a cancellation, was first seen. */
  readonly changeSeenAtMs: number;
  readonly isCancelled: boolean;
  /** Whether this instance received the caller's cancellation request. */
  readonly hasCancelRequest: boolean;
  readonly isBuildingOutput: boolean;
  readonly builtOutput: JobOutput | undefined;
  readonly isCallPending: boolean;
  readonly retryAtMs: number;
  readonly scanBackoffUntilMs: number;
};

/** A job offered by a caller whose record is not written yet. */
export type JobOffer = {
  readonly spec: JobSpec;
  readonly offeredAtMs: number;
  readonly isCallPending: boolean;
  readonly mustReadBack: boolean;
  /** Whether a write may have taken effect. */
  readonly mayHaveRun: boolean;
  readonly retryAtMs: number;
};

/** An instance's state of batch jobs. */
export type JobsState = {
  /** Jobs that have not ended. */
  readonly known: Table<Job>;
  /** Owned segments, by `<job>/<n>`. */
  readonly owned: Table<Segment>;
  /** Offers whose record is not written yet, by offer id. */
  readonly offers: Table<JobOffer>;
  /**
   * Versions of listed segment records and when each was first seen, by
   * `<job>/<n>`.
   */
  readonly seen: Table<ObservedRecord>;
  /** Store revision up to which job records have been read. */
  readonly revision: number;
  /** Segment to claim once its job's record has been read again. */
  readonly claim: ClaimableSegment | undefined;
  /**
   * Time of the last unanswered store call. Until then no owner could rely on
   * renewing its lease, so an unchanged record does not prove that it lapsed.
   */
  readonly storeUnavailableAtMs: number;
  readonly isPolling: boolean;
  readonly nextPollAtMs: number;
  readonly isScanning: boolean;
  readonly nextScanAtMs: number;
  readonly lastTickAtMs: number;
};

export type ObservedRecord = {
  readonly version: number;
  readonly unchangedSinceMs: number;
};

/** Outcome of a job offer. */
export type OfferAnswer =
  | { readonly kind: "accepted"; readonly record: JobRecord }
  /** A job with a different input exists under the same name. */
  | { readonly kind: "conflict" }
  | { readonly kind: "unavailable"; readonly run: "not run" | "may have run" };

/** Result of an item, for its line in the output or error file. */
export type ItemResult =
  | { readonly kind: "answer"; readonly status: number }
  | { readonly kind: "error"; readonly code: string; readonly message: string };

/** Notifies a peer that cancellation of a job was requested. */
export type JobCancelled = {
  readonly kind: "job-cancelled";
  readonly jobId: JobId;
};

/** A segment record as returned by a list call. */
export type ListedSegment = {
  readonly number: number;
  readonly version: number;
  readonly record: SegmentRecord;
};

/** A segment that can be claimed, with its record if it has one. */
export type ClaimableSegment = {
  readonly number: number;
  readonly listed: ListedSegment | undefined;
};

/** Input for building a job's files, one entry per segment. */
export type EndedSegment = {
  readonly first: number;
  readonly parts: readonly SegmentPart[];
};
