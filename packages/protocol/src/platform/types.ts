/** Client interface of the platform's key-value service. */
import type { ListedInstance, PlatformRecord } from "@gooseberryline/core";

/** The answer to a compare-and-swap. */
export type CasAnswer =
  | { readonly kind: "written"; readonly version: number }
  | { readonly kind: "conflict"; readonly current: PlatformRecord | undefined };

/** Records that changed after a store revision, and the revision reached. */
export type WatchAnswer = {
  readonly revision: number;
  readonly records: readonly PlatformRecord[];
};

/** A compare-and-swap of one key. */
export type CasRequest = {
  readonly key: string;
  readonly value: string;
  /** Version the key must have; 0 for a key that must not exist. */
  readonly expect: number;
  /** Lease that the key is attached to; the key is removed when it ends. */
  readonly leaseId?: string;
};

/**
 * Client of the key-value service. Every call may reject with a
 * `PlatformError`; after `unavailable` a write may have taken effect.
 */
export type Platform = {
  readonly get: (key: string) => Promise<PlatformRecord | undefined>;
  readonly list: (prefix: string) => Promise<readonly PlatformRecord[]>;
  readonly cas: (request: CasRequest) => Promise<CasAnswer>;
  /**
   * Waits for a change under `prefix` after `revision`; resolves to undefined
   * if none was reported within `waitMs`.
   */
  readonly watch: (
    prefix: string,
    revision: number,
    waitMs: number,
  ) => Promise<WatchAnswer | undefined>;
  /** Resolves to the id of the new lease. */
  readonly grantLease: (ttlMs: number) => Promise<string>;
  /** Renews a lease; resolves to false if it no longer exists. */
  readonly renewLease: (leaseId: string) => Promise<boolean>;
  readonly listInstances: () => Promise<readonly ListedInstance[]>;
};
