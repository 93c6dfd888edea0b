/** Types of files and batch jobs of the OpenAI-compatible API. */
import type {
  CustomerId,
  InstanceId,
  JobRecord,
  JobSpec,
} from "@gooseberryline/core";

/** Metadata of a stored file. */
export type FileMeta = {
  readonly id: string;
  readonly customer: CustomerId;
  readonly bytes: number;
  readonly createdS: number;
  readonly filename: string;
  readonly purpose: string;
};

/** One validated line of a job's input. */
export type InputLine = {
  readonly customId: string;
  readonly url: string;
  readonly body: Readonly<Record<string, unknown>>;
};

/** The reason why an input line is invalid. */
export type LineFault = { readonly code: string; readonly message: string };

/** A job as shown to callers and operators. */
export type JobView = {
  readonly spec: JobSpec;
  readonly status: JobRecord["phase"];
  readonly completed: number;
  readonly failed: number;
  readonly endedMs: number | undefined;
};

/** A stored item result: one line of a result file. */
export type StoredResult = {
  readonly index: number;
  readonly isFailed: boolean;
  /** The item's entry in the output or error file. */
  readonly line: Readonly<Record<string, unknown>>;
};

/** Client for files in the data folders of peers; rejects with `PeerError`. */
export type BlobPeers = {
  /** Writes a file to a peer; resolves once the peer has synced it. */
  readonly write: (
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
