/** Types of work: an online request or a batch item being processed. */
import type {
  AttemptId,
  CustomerId,
  JobId,
  KeyId,
  ProfileName,
  ServiceName,
  UpstreamId,
  WorkId,
} from "../ids/types.ts";

export const LANES = { ONLINE: "online", BATCH: "batch" } as const;
export type Lane = (typeof LANES)[keyof typeof LANES];

/** Source of the work, which also receives its answer. */
export type WorkOrigin =
  | { readonly kind: "request" }
  | { readonly kind: "item"; readonly jobId: JobId; readonly index: number };

/** Processing step in which an error occurred. */
export type FaultStep =
  | "parse"
  | "authenticate"
  | "check"
  | "admit"
  | "claim"
  | "queue"
  | "connect"
  | "send"
  | "answer"
  | "relay"
  | "store"
  | "stop";

/** Whether the work may have run at an upstream. Every refusal states it. */
export type RunCertainty = "not run" | "may have run";

/** An error with the step and the remote party involved. */
export type Fault = {
  readonly code: FaultCode;
  readonly step: FaultStep;
  /** Upstream, instance or service that the step communicated with. */
  readonly peer: string;
  readonly message: string;
};

export type FaultCode =
  | "rate_limited"
  | "deadline_exceeded"
  | "no_capacity"
  | "upstream_error"
  | "upstream_unreachable"
  | "upstream_silent"
  | "answer_mismatch"
  | "answer_cut_off"
  | "key_withdrawn"
  | "client_gone"
  | "job_cancelled"
  | "stopping"
  | "unknown_service"
  | "store_unavailable"
  | "key_used"
  | "yielded";

/** A refusal or failure as reported to the caller. */
export type Refusal = {
  readonly fault: Fault;
  readonly run: RunCertainty;
  readonly retryAfterMs: number | undefined;
};

/** Outcome of one attempt at an upstream, as reported by its task. */
export type AttemptOutcome =
  /** The answer arrived in full. `status` is the upstream's HTTP status. */
  | {
      readonly kind: "completed";
      readonly status: number;
      readonly tokens: number;
    }
  /** Never sent, or reported by the engine as not started. */
  | { readonly kind: "not-started"; readonly fault: Fault }
  /** May have run. `isRelayed`: the caller has received part of the answer. */
  | {
      readonly kind: "failed";
      readonly fault: Fault;
      readonly isRelayed: boolean;
    }
  /** Cancelled by a `cancel-attempt` effect of this instance. */
  | { readonly kind: "cancelled" };

export type Attempt = {
  readonly attemptId: AttemptId;
  readonly upstreamId: UpstreamId;
  readonly startedMs: number;
};

/** A unit of work requested by a caller or a job. */
export type WorkOrder = {
  readonly workId: WorkId;
  readonly origin: WorkOrigin;
  readonly lane: Lane;
  readonly customer: CustomerId;
  /** Undefined on routes that need no tenant key. */
  readonly keyId: KeyId | undefined;
  readonly profile: ProfileName;
  readonly service: ServiceName;
  readonly isIdempotent: boolean;
  /**
   * Hash of customer and idempotency key. A non-idempotent request with such a
   * key runs at most once.
   */
  readonly claimKey?: string;
  /** Estimated cost in tokens, prompt and answer combined. */
  readonly costTokens: number;
  /** Hash of the prompt prefix, for prefix affinity; 0 disables it. */
  readonly prefixHash: number;
  /** Time by which the complete answer is due, by the instance's clock. */
  readonly deadlineMs: number;
};

/** An accepted order and its progress. */
export type Work = {
  readonly order: WorkOrder;
  /** Current state in `charts/work.json`. */
  readonly phase: string;
  readonly acceptedMs: number;
  readonly attemptCount: number;
  readonly attempt: Attempt | undefined;
  /** Set once an attempt that may have run failed or was cancelled. */
  readonly mayHaveRun: boolean;
};

/** Stored record of one attempt, for operators. */
export type RunRecord = {
  readonly workId: WorkId;
  readonly attemptId: AttemptId;
  readonly origin: WorkOrigin;
  readonly customer: CustomerId;
  readonly profile: ProfileName;
  readonly service: ServiceName;
  readonly configRevision: number;
  readonly upstreamId: UpstreamId;
  readonly startedMs: number;
  readonly endedMs: number;
  readonly outcome: AttemptOutcome["kind"];
};

/** Result of work: an upstream's complete answer, or a refusal. */
export type WorkEnd =
  | {
      readonly kind: "answered";
      readonly outcome: Extract<AttemptOutcome, { kind: "completed" }>;
    }
  | { readonly kind: "refused"; readonly refusal: Refusal };
