/** Work: one online request or one batch item on its way to an answer. */
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

/** Where the work came from, and so where its answer goes. */
export type WorkOrigin =
  | { readonly kind: "request" }
  | { readonly kind: "item"; readonly jobId: JobId; readonly index: number };

/** The step at which an error arose. */
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

/** Whether the work surely did not run; stated in every refusal. */
export type RunCertainty = "not run" | "may have run";

/** An error with the step and the peer at which it arose. */
export type Fault = {
  readonly code: FaultCode;
  readonly step: FaultStep;
  /** Upstream, instance or service that the step dealt with. */
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

/** A refusal or failure as the caller learns of it. */
export type Refusal = {
  readonly fault: Fault;
  readonly run: RunCertainty;
  readonly retryAfterMs: number | undefined;
};

/** How one attempt at an upstream ended, as the attempt's task saw it. */
export type AttemptOutcome =
  /** The whole answer arrived; `status` is what the upstream answered. */
  | {
      readonly kind: "completed";
      readonly status: number;
      readonly tokens: number;
    }
  /** Never sent, or the engine said that it did not start. */
  | { readonly kind: "not-started"; readonly fault: Fault }
  /** May have run; `isRelayed` when the caller has part of the answer. */
  | {
      readonly kind: "failed";
      readonly fault: Fault;
      readonly isRelayed: boolean;
    }
  /** Ended by this instance's own `cancel-attempt`. */
  | { readonly kind: "cancelled" };

export type Attempt = {
  readonly attemptId: AttemptId;
  readonly upstreamId: UpstreamId;
  readonly startedMs: number;
};

/** What a caller or a job asks for. */
export type WorkOrder = {
  readonly workId: WorkId;
  readonly origin: WorkOrigin;
  readonly lane: Lane;
  readonly customer: CustomerId;
  /** Absent on routes open to all. */
  readonly keyId: KeyId | undefined;
  readonly profile: ProfileName;
  readonly service: ServiceName;
  readonly isIdempotent: boolean;
  /** Hash of customer and idempotency key of a call that may run once. */
  readonly claimKey?: string;
  /** Expected work in tokens, prompt and answer together. */
  readonly costTokens: number;
  /** Hash of the prompt's start, for prefix affinity; 0 for none. */
  readonly prefixHash: number;
  /** Moment by which the whole answer is due, instance clock. */
  readonly deadlineMs: number;
};

/** An order that was accepted, with its progress. */
export type Work = {
  readonly order: WorkOrder;
  /** State of `charts/work.json`. */
  readonly phase: string;
  readonly acceptedMs: number;
  readonly attemptCount: number;
  readonly attempt: Attempt | undefined;
  /** Set once an attempt was lost that may have run. */
  readonly mayHaveRun: boolean;
};

/** The record of one attempt, kept for operators. */
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

/** How work ends: with an upstream's whole answer, or with a refusal. */
export type WorkEnd =
  | {
      readonly kind: "answered";
      readonly outcome: Extract<AttemptOutcome, { kind: "completed" }>;
    }
  | { readonly kind: "refused"; readonly refusal: Refusal };
