/** Batch jobs: many items under one due time. */
import type {
  CustomerId,
  JobId,
  KeyId,
  ProfileName,
  ServiceName,
} from "../ids/types.ts";

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
};

export type JobPhase = "running" | "cancelling" | "completed" | "cancelled";

/** Progress of one item. */
export const ITEM_STATES = {
  PENDING: 0,
  RUNNING: 1,
  STORING: 2,
  COMPLETED: 3,
  FAILED: 4,
} as const;
export type ItemState = (typeof ITEM_STATES)[keyof typeof ITEM_STATES];

/** A job that this instance runs, with its progress. */
export type Job = {
  readonly spec: JobSpec;
  readonly phase: JobPhase;
  readonly items: readonly ItemState[];
  readonly tries: Readonly<Record<string, number>>;
  /** First item that may still be pending. */
  readonly cursor: number;
};

/** How an item ended, for its line in the output or error file. */
export type ItemResult =
  | { readonly kind: "answer"; readonly status: number }
  | { readonly kind: "error"; readonly code: string; readonly message: string };
