/** Types of batch jobs as stored in the metadata store. */

import type { StreamOrigin } from "../stream_versions/types.ts";

/** An item as submitted by its caller. */
export type BatchItem = {
  readonly id: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  /** Request body, base64-encoded. */
  readonly body: string;
  /** Sum of prompt and output tokens. */
  readonly tokens: number;
};

/** Immutable part of a job. */
export type BatchJob = {
  readonly id: string;
  readonly customer: string;
  readonly host: string;
  readonly prefix: string;
  /**
   * Revision of the configuration that accepted it; 0 in a record of an earlier
   * build. An instance that knows less can't tell that its route has ended.
   */
  readonly configRevision: number;
  /** Unix ms. */
  readonly submittedAtMs: number;
  /** Duration from submission to the due time, in ms. */
  readonly dueMs: number;
  /** Duration from submission, in ms. */
  readonly retentionMs: number;
  readonly maxAttempts: number;
  readonly itemIds: readonly string[];
  /** Index of the first item in each stored chunk. */
  readonly chunkStarts: readonly number[];
};

/**
 * Ownership of an unfinished job. The record's revision fences the owner's
 * writes.
 */
export type BatchClaim = {
  /** Worker that runs the job, or empty before the first claim. */
  readonly owner: string;
  readonly incarnation: string;
  /** Unix ms. */
  readonly dueAtMs: number;
};

export const ITEM_RESULTS = {
  completed: "completed",
  errored: "errored",
} as const;

export type ItemResultState = (typeof ITEM_RESULTS)[keyof typeof ITEM_RESULTS];

export type BatchResult = {
  readonly id: string;
  readonly state: ItemResultState;
  readonly text: string;
};

/**
 * Partial output of an unfinished item, from which a new owner resumes after a
 * loss.
 */
export type PartialItemText = {
  readonly index: number;
  /** Data of the events received so far. */
  readonly texts: readonly string[];
  readonly lastEventId: number;
  /** What wrote them; left out by earlier builds, whose texts begin anew. */
  readonly origin?: StreamOrigin | undefined;
  /** Accumulated run time, in ms. */
  readonly ranMs: number;
};

/** Indexes of the items with a stored result, in order of result position. */
export type BatchProgress = {
  readonly listed: readonly number[];
  /** Lets a writer recognize its own write after the response was lost. */
  readonly writer: string;
};

/** An item that is waiting or running. */
export type OrderedItem = {
  readonly index: number;
  /** Unix ms. */
  readonly dueAtMs: number;
  /** Accumulated run time so far, in ms. */
  readonly ranMs: number;
};

/** Current time and run statistics for ordering items. */
export type ItemOrderContext = {
  /** Unix ms. */
  readonly nowMs: number;
  /** Mean run time of an item, in ms. */
  readonly meanRunMs: number;
  /** Average number of slots available to items; undefined until measured. */
  readonly slots: number | undefined;
};

/** Results of a job that are finished and not listed yet. */
export type FinishedResults = {
  readonly finished: number;
  /** Items of the job without a listed result, the finished ones included. */
  readonly open: number;
  readonly maxInCommit: number;
  /** Time until the job's results are due, in ms. */
  readonly dueInMs: number;
};
