/** Files and batches as the OpenAI-compatible interface shows them. */
import type {
  CustomerId,
  InstanceId,
  JobRecord,
  JobSpec,
} from "@gooseberryline/core";

/** A stored file's description. */
export type FileMeta = {
  readonly id: string;
  readonly customer: CustomerId;
  readonly bytes: number;
  readonly createdS: number;
  readonly filename: string;
  readonly purpose: string;
};

/** One checked line of a job's input. */
export type InputLine = {
  readonly customId: string;
  readonly url: string;
  readonly body: Readonly<Record<string, unknown>>;
};

/** A line that can't be accepted, and why. */
export type LineFault = { readonly code: string; readonly message: string };

/** A job as callers and operators see it. */
export type JobView = {
  readonly spec: JobSpec;
  readonly status: JobRecord["phase"];
  readonly completed: number;
  readonly failed: number;
  readonly endedMs: number | undefined;
};

/** One stored item result, a line of a result file. */
export type StoredResult = {
  readonly index: number;
  readonly isFailed: boolean;
  /** The item's line in the output or error file. */
  readonly line: Readonly<Record<string, unknown>>;
};

/** Files in the data folders of other instances; rejects with `PeerError`. */
export type BlobPeers = {
  /** Stores a file at a peer; resolves once the peer has synced it. */
  readonly put: (
    to: InstanceId,
    name: string,
    content: AsyncIterable<Buffer>,
  ) => Promise<{ readonly name: string; readonly bytes: number }>;
  readonly get: (from: InstanceId, name: string) => AsyncIterable<Buffer>;
  readonly list: (
    at: InstanceId,
    prefix: string,
  ) => Promise<readonly { readonly name: string; readonly bytes: number }[]>;
};
