/** Calls of the platform's key-value service, as the core asks for them. */
import type { Table } from "../shared/types.ts";

/** One stored value; `version` rises with each write of the key. */
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
      /** Version the key must have; 0 for a key that must not exist. */
      readonly expect: number;
      readonly leaseId?: string;
    }
  /** Waits a while for records that changed after a store revision. */
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
  /** No answer came: a write may have taken effect. */
  | { readonly kind: "unavailable" }
  /** Refused before anything was done. */
  | { readonly kind: "throttled"; readonly retryAfterMs: number };

/** Why a call was made: which feature handles its answer. */
export type PlatformPurpose =
  | { readonly feature: "shares"; readonly what: string; readonly id: string }
  | { readonly feature: "jobs"; readonly what: string; readonly id: string }
  | { readonly feature: "claims"; readonly what: string; readonly id: string }
  | {
      readonly feature: "membership";
      readonly what: string;
      readonly id: string;
    };

export type PendingCall = {
  readonly purpose: PlatformPurpose;
  readonly call: PlatformCall;
  readonly askedMs: number;
};

/** Calls that wait for their answer, by call id. */
export type PlatformState = {
  readonly callCount: number;
  readonly pending: Table<PendingCall>;
  /** When the platform last answered this instance. */
  readonly heardMs: number;
};
