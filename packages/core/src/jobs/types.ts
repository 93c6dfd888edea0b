/** Batch jobs: many items under one due time, split into segments. */
import type {
  CustomerId,
  InstanceId,
  JobId,
  KeyId,
  ProfileName,
  ServiceName,
} from "../ids/types.ts";
import type { Table } from "../shared/types.ts";

/** What a job is, fixed when it is accepted. */
export type JobSpec = {
  readonly jobId: JobId;
  readonly customer: CustomerId;
  readonly keyId: KeyId | undefined;
  readonly profile: ProfileName;
  readonly service: ServiceName;
  readonly isIdempotent: boolean;
  readonly itemCount: number;
  /** Expected work of one item, tokens. */
  readonly itemCostTokens: number;
  readonly createdMs: number;
  readonly dueMs: number;
  /** Instances whose disks hold the input. */
  readonly inputDisks: readonly InstanceId[];
  /** Tells another input under the same name from the same one resent. */
  readonly inputHash: string;
  /** What the caller interface shows of the job besides. */
  readonly about: Readonly<Record<string, unknown>>;
};

/** Sorted runs of item offsets in a segment, ends included. */
export type Ranges = readonly (readonly [number, number])[];

/** The results that one owner stored in one file on the same disks. */
export type SegmentPart = {
  readonly blobId: string;
  readonly disks: readonly InstanceId[];
  readonly done: Ranges;
  /** Those of `done` that ended in an error. */
  readonly failed: Ranges;
};

/** The platform's record of a segment, `segments/<job>/<n>`. */
export type SegmentRecord = {
  readonly state: "open" | "done" | "closed";
  /** Owner, or empty after it was handed back. */
  readonly owner: InstanceId | "";
  readonly incarnation: string;
  /** Rises with each owner. */
  readonly fence: number;
  /** Rises with each write of this owner. */
  readonly count: number;
  readonly parts: readonly SegmentPart[];
  /** Non-idempotent items that may have been started. */
  readonly intents: Ranges;
};

/** A segment that this instance owns or claims. */
export type Segment = {
  readonly jobId: JobId;
  readonly number: number;
  /** Index in the job of the segment's first item. */
  readonly first: number;
  /** State of `charts/segment.json`. */
  readonly phase: string;
  /** Progress of each item, a code of `ITEM_STATES`. */
  readonly items: readonly number[];
  /** First item that may still be startable. */
  readonly cursor: number;
  /** Attempts behind items that failed. */
  readonly tries: Table<number>;
  readonly parts: readonly SegmentPart[];
  readonly intents: Ranges;
  readonly fence: number;
  readonly count: number;
  /** Version of the record as last known; 0 for none. */
  readonly version: number;
  /** Moment of asking for the last confirmed write or read. */
  readonly confirmedMs: number;
  readonly askedMs: number;
  readonly wroteMs: number;
  /** When the oldest result that is not yet committed was stored. */
  readonly oldestMs: number | undefined;
  readonly uncommitted: number;
  readonly isAsking: boolean;
  /** A write was not answered: read before the next one. */
  readonly mustRead: boolean;
  readonly isOffline: boolean;
  readonly retryMs: number;
  readonly pauseUntilMs: number;
};

export type JobPhase =
  | "in_progress"
  | "finalizing"
  | "cancelling"
  | "completed"
  | "cancelled";

/** Where a job's output and error files are, and their lines. */
export type JobOutput = {
  readonly disks: readonly InstanceId[];
  readonly completed: number;
  readonly failed: number;
  readonly endedMs: number;
};

/** The platform's record of a job, `jobs/<customer>/<job>`. */
export type JobRecord = {
  readonly spec: JobSpec;
  readonly phase: JobPhase;
  /** Incarnation that makes the job's files, once all items ended. */
  readonly finalizer?: string;
  readonly output?: JobOutput;
};

/** A job that has not ended, as this instance knows it. */
export type Job = {
  readonly record: JobRecord;
  readonly version: number;
  /** When this version, or a cancellation, was first seen. */
  readonly seenMs: number;
  readonly isCancelled: boolean;
  /** Whether this instance was told by the caller to cancel. */
  readonly isCanceller: boolean;
  readonly isBuilding: boolean;
  readonly built: JobOutput | undefined;
  readonly isAsking: boolean;
  readonly retryMs: number;
  readonly exhaustedUntilMs: number;
};

/** A job that a caller offers and that has no record yet. */
export type JobOffer = {
  readonly spec: JobSpec;
  readonly offeredMs: number;
  readonly isAsking: boolean;
  readonly mustRead: boolean;
  /** Whether a write may have taken effect. */
  readonly mayHaveRun: boolean;
  readonly retryMs: number;
};

/** All that an instance knows of batch jobs. */
export type JobsState = {
  /** Jobs that have not ended. */
  readonly known: Table<Job>;
  /** Segments by `<job>/<n>`. */
  readonly owned: Table<Segment>;
  /** Offers that wait for their record, by offer id. */
  readonly offers: Table<JobOffer>;
  /** Records of others' segments: version and when it was first seen. */
  readonly seen: Table<SeenRecord>;
  /** Store revision up to which job records are known. */
  readonly revision: number;
  /** The free segment that is claimed if its job still runs. */
  readonly claim: FreeSegment | undefined;
  /** When the store last gave no answer: nobody could renew a lease then. */
  readonly deafMs: number;
  readonly isPolling: boolean;
  readonly nextPollMs: number;
  readonly isSeeking: boolean;
  readonly nextSeekMs: number;
  readonly tickMs: number;
};

export type SeenRecord = { readonly version: number; readonly sinceMs: number };

/** What became of a job that was offered. */
export type OfferAnswer =
  | { readonly kind: "accepted"; readonly record: JobRecord }
  /** Another input stands under the same name. */
  | { readonly kind: "conflict" }
  | { readonly kind: "unavailable"; readonly run: "not run" | "may have run" };

/** How an item ended, for its line in the output or error file. */
export type ItemResult =
  | { readonly kind: "answer"; readonly status: number }
  | { readonly kind: "error"; readonly code: string; readonly message: string };

/** Says that a cancellation was asked for. */
export type JobCancelled = {
  readonly kind: "job-cancelled";
  readonly jobId: JobId;
};

/** A segment's record as it was listed. */
export type FoundSegment = {
  readonly number: number;
  readonly version: number;
  readonly record: SegmentRecord;
};

/** A segment that may be claimed, with its record if it has one. */
export type FreeSegment = {
  readonly number: number;
  readonly found: FoundSegment | undefined;
};

/** What a job's files are built from, one entry for each segment. */
export type EndedSegment = {
  readonly first: number;
  readonly parts: readonly SegmentPart[];
};
