/**
 * Types of the dialect, which maps the gateway to external names and formats.
 */
import type { IncomingHttpHeaders } from "node:http";
import type {
  BatchItem,
  BatchResult,
  RequestTokens,
  RolloutOrder,
  RolloutStep,
  ServingConfig,
  UpstreamEntry,
} from "@gooseberryline/core";

/** A caller's request headers, parsed. */
export type CallHead = {
  /** Id of the request; undefined if none was sent. */
  readonly requestId: string | undefined;
  readonly key: string | undefined;
  /** Time that the caller waits for the response, in ms. */
  readonly deadlineMs: number | undefined;
  /** Id of the last event that the caller has received of a stream. */
  readonly lastEventId: number | undefined;
  /** Id of the request that brought the stream's first event, if it goes on. */
  readonly resumes: string | undefined;
  /** Identifies the shared prefix of the prompt, for placement affinity. */
  readonly affinityKey: string | undefined;
  /** Ids of the prompt's parts that other requests may share, in order. */
  readonly promptParts: readonly string[];
  /** Size of the request; undefined if not told. */
  readonly tokens?: RequestTokens | undefined;
  /** Time that a read of results may wait for new ones, in ms. */
  readonly waitMs: number;
};

/** Fields that the gateway adds to the headers of a forwarded request. */
export type UpstreamHeaderFields = {
  readonly requestId: string | undefined;
  readonly upstreamId: string;
  readonly customer: string | undefined;
  readonly remainingMs: number;
  readonly lastEventId: number | undefined;
};

/** An upstream's response headers, parsed. */
export type ResponseHead = {
  readonly requestId: string | undefined;
  /** Whether it bears an upstream's signature, as each success does. */
  readonly isSigned: boolean;
  /** Whether the upstream reports that it did not run the request. */
  readonly isUnexecuted: boolean;
  /** Requests per second that it takes from all; undefined: it names none. */
  readonly limitPerSecond: number | undefined;
  /** Whether it takes no more requests, as it is about to end. */
  readonly isLeaving: boolean;
};

/** A call of the job API, parsed from its method and path. */
export type JobCall =
  | { readonly kind: "read"; readonly jobId: string; readonly after: number }
  | { readonly kind: "body"; readonly jobId: string; readonly itemId: string }
  | { readonly kind: "end"; readonly jobId: string }
  | { readonly kind: "malformed"; readonly reason: string };

/** A decoded value, or the reason why it can't be decoded. */
export type Decoded<Value> =
  | { readonly kind: "decoded"; readonly value: Value }
  | { readonly kind: "unreadable"; readonly reason: string };

/** A record under the operators' prefix, parsed from its key. */
export type OperatorRecord =
  | { readonly kind: "config" }
  | { readonly kind: "data-centre-out"; readonly dataCentre: string }
  | { readonly kind: "instance-retired"; readonly instanceId: string }
  | { readonly kind: "rollout"; readonly service: string }
  | { readonly kind: "unknown" };

/** A page of a job's results; `next` is the position to read on from. */
export type ResultsPage = {
  readonly total: number;
  readonly next: number;
  readonly results: readonly BatchResult[];
};

export type CallDialect = {
  readonly parseCallHead: (headers: IncomingHttpHeaders) => CallHead;
  /**
   * Builds the headers sent to an upstream from the caller's, without the API
   * key.
   */
  readonly buildHeaders: (
    headers: IncomingHttpHeaders,
    order: UpstreamHeaderFields,
  ) => Record<string, string>;
  readonly readResponseHead: (headers: IncomingHttpHeaders) => ResponseHead;
  /** Returns undefined for a path outside the job API. */
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
  /** Decodes the order to roll out a version of a service. */
  readonly parseRolloutOrder: (
    service: string,
    value: Buffer,
  ) => Decoded<Omit<RolloutOrder, "revision">>;
  /** Builds the record that reports to operators how far a roll-out is. */
  readonly buildRolloutStatus: (
    service: string,
    to: string,
    step: RolloutStep,
  ) => { readonly key: string; readonly value: Buffer };
  /**
   * Builds the record that reports whether an instance has handed over its
   * jobs.
   */
  readonly buildRetirementStatus: (
    instanceId: string,
    isCompleted: boolean,
  ) => { readonly key: string; readonly value: Buffer };
};

export type Dialect = {
  readonly calls: CallDialect;
  readonly records: RecordDialect;
  /** Path of the readiness check. */
  readonly readinessPath: string;
};
