/** Files and batches as the OpenAI-compatible interface shows them. */
import type { CustomerId, InstanceId, JobSpec } from "@gooseberryline/core";

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

/** A job's record: what it is, and how it ended. */
export type JobRecord = {
  readonly spec: JobSpec;
  readonly inputFileId: string;
  readonly endpoint: string;
  readonly completionWindow: string;
  readonly metadata: Readonly<Record<string, string>>;
  readonly status: "in_progress" | "cancelling" | "completed" | "cancelled";
  readonly endedMs: number | undefined;
  readonly outputFileId: string | undefined;
  readonly errorFileId: string | undefined;
};

/** One stored item result, a line of the job's result file. */
export type StoredResult = {
  readonly index: number;
  readonly attemptId: string;
  readonly kind: "answer" | "error";
  readonly status: number;
  readonly body: unknown;
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
