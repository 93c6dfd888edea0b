/** Calls to the platform's key-value store, as requested by the core. */
import type { Table } from "../shared/types.ts";

/** A stored record; `version` increases with each write of the key. */
export type PlatformRecord = {
  readonly key: string;
  readonly value: string;
  readonly version: number;
};

export type PlatformCall =
  | { readonly kind: "get"; readonly key: string }
  | { readonly kind: "list"; readonly prefix: string }
  | {
      readonly kind: "cas";
      readonly key: string;
      readonly value: string;
      /** Required current version of the key; 0 if it must not exist. */
      readonly expect: number;
      readonly leaseId?: string;
    }
  /** Long-polls for records that changed after a store revision. */
  | {
      readonly kind: "changes";
      readonly prefix: string;
      readonly revision: number;
    }
  | { readonly kind: "grant-lease"; readonly ttlMs: number }
  | { readonly kind: "keep-lease"; readonly leaseId: string };

export type PlatformAnswer =
  | { readonly kind: "got"; readonly record: PlatformRecord | undefined }
  | { readonly kind: "listed"; readonly records: readonly PlatformRecord[] }
  | {
      readonly kind: "changed";
      readonly revision: number;
      readonly records: readonly PlatformRecord[];
    }
  | { readonly kind: "written"; readonly version: number }
  | { readonly kind: "conflict"; readonly current: PlatformRecord | undefined }
  | { readonly kind: "granted"; readonly leaseId: string }
  | { readonly kind: "kept"; readonly isKept: boolean }
  /** No answer was received; a write may have taken effect. */
  | { readonly kind: "unavailable" }
  /** Rejected by rate limiting, with no effect. */
  | { readonly kind: "throttled"; readonly retryAfterMs: number };

/** The purpose of a call, which selects the feature that handles its answer. */
export type PlatformPurpose =
  | {
      readonly feature: "shares";
      readonly operation: string;
      readonly id: string;
    }
  | {
      readonly feature: "jobs";
      readonly operation: string;
      readonly id: string;
    }
  | {
      readonly feature: "claims";
      readonly operation: string;
      readonly id: string;
    }
  | {
      readonly feature: "membership";
      readonly operation: string;
      readonly id: string;
    };

export type PendingCall = {
  readonly purpose: PlatformPurpose;
  readonly call: PlatformCall;
  readonly requestedMs: number;
};

/** Platform calls in flight, by call id. */
export type PlatformState = {
  readonly callCount: number;
  readonly pending: Table<PendingCall>;
  /** When the platform last answered this instance, in ms. */
  readonly lastAnswerMs: number;
};
