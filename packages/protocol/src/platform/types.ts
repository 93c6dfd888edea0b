/** The platform's key-value service, as the product uses it. */
import type { ListedInstance, PlatformRecord } from "@gooseberryline/core";

/** The answer to a compare-and-swap. */
export type CasAnswer =
  | { readonly kind: "written"; readonly version: number }
  | { readonly kind: "conflict"; readonly current: PlatformRecord | undefined };

/** Changes after a store revision. */
export type WatchAnswer = {
  readonly revision: number;
  readonly records: readonly PlatformRecord[];
};

export type CasRequest = {
  readonly key: string;
  readonly value: string;
  /** Version the key must have; 0 for a key that must not exist. */
  readonly expect: number;
  /** Lease that the key ends with. */
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
   * Waits for a change under `prefix` after `revision`; undefined where none
   * was told within `waitMs`.
   */
  readonly watch: (
    prefix: string,
    revision: number,
    waitMs: number,
  ) => Promise<WatchAnswer | undefined>;
  readonly grantLease: (ttlMs: number) => Promise<string>;
  readonly keepLease: (leaseId: string) => Promise<boolean>;
  readonly listInstances: () => Promise<readonly ListedInstance[]>;
};
