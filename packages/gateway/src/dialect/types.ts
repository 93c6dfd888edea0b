/** What the gateway needs to know of names and formats outside it. */
import type { IncomingHttpHeaders } from "node:http";
import type {
  BatchItem,
  BatchResult,
  ServingConfig,
  UpstreamEntry,
} from "@gooseberryline/core";

/** What a caller's headers say. */
export type CallHead = {
  /** Id of the caller's try; undefined where it sent none. */
  readonly requestId: string | undefined;
  readonly key: string | undefined;
  /** How long the caller waits, in ms. */
  readonly deadlineMs: number | undefined;
  /** Last event that the caller has of a stream. */
  readonly lastEventId: number | undefined;
  /** Identifies the shared part of the prompt. */
  readonly affinityKey: string | undefined;
  /** How long a read of results may be held, in ms. */
  readonly waitMs: number;
};

/** What the gateway adds to a request that it passes on. */
export type UpstreamOrder = {
  readonly requestId: string | undefined;
  readonly upstreamId: string;
  readonly customer: string | undefined;
  readonly leftMs: number;
  readonly lastEventId: number | undefined;
};

/** What an upstream's headers say of the answer. */
export type ResponseHead = {
  readonly requestId: string | undefined;
  /** The upstream says that it did not run the request. */
  readonly isUnexecuted: boolean;
};

/** A call about jobs, told by its method and path. */
export type JobCall =
  | { readonly kind: "read"; readonly jobId: string; readonly after: number }
  | { readonly kind: "body"; readonly jobId: string; readonly itemId: string }
  | { readonly kind: "end"; readonly jobId: string }
  | { readonly kind: "malformed"; readonly reason: string };

/** A decoded value, or why it can't be read. */
export type Decoded<Value> =
  | { readonly kind: "decoded"; readonly value: Value }
  | { readonly kind: "unreadable"; readonly reason: string };

/** What a record under the operators' prefix says. */
export type OperatorRecord =
  | { readonly kind: "config" }
  | { readonly kind: "data-centre-out"; readonly dataCentre: string }
  | { readonly kind: "instance-retired"; readonly instanceId: string }
  | { readonly kind: "unknown" };

/** An answer to a read of results. */
export type ResultsPage = {
  readonly total: number;
  readonly next: number;
  readonly results: readonly BatchResult[];
};

export type CallDialect = {
  readonly readCall: (headers: IncomingHttpHeaders) => CallHead;
  /** The caller's headers as an upstream gets them, less the key. */
  readonly buildHeaders: (
    headers: IncomingHttpHeaders,
    order: UpstreamOrder,
  ) => Record<string, string>;
  readonly readAnswer: (headers: IncomingHttpHeaders) => ResponseHead;
  /** Undefined for a path that is no call about jobs. */
  readonly parseJobCall: (method: string, url: string) => JobCall | undefined;
  readonly parseJob: (body: Buffer) => Decoded<readonly BatchItem[]>;
  readonly encodeResults: (read: ResultsPage) => string;
};

export type RecordDialect = {
  readonly operatorPrefix: string;
  readonly upstreamPrefix: string;
  readonly parseOperatorKey: (key: string) => OperatorRecord;
  readonly parseConfig: (value: Buffer) => Decoded<ServingConfig>;
  readonly parseUpstream: (
    key: string,
    value: Buffer,
    nowMs: number,
  ) => Decoded<UpstreamEntry>;
  /** The record that reports how far an instance has been emptied. */
  readonly buildRetireStatus: (
    instanceId: string,
    isCompleted: boolean,
  ) => { readonly key: string; readonly value: Buffer };
};

export type Dialect = {
  readonly calls: CallDialect;
  readonly records: RecordDialect;
  /** Path of the readiness question. */
  readonly readinessPath: string;
};
