/** The platform's key-value service, as the product uses it. */

/** One stored value; `version` rises with each write of the key. */
export type StoredRecord = {
  readonly key: string;
  readonly value: string;
  readonly version: number;
};

/** The answer to a compare-and-swap. */
export type CasAnswer =
  | { readonly kind: "written"; readonly version: number }
  | { readonly kind: "conflict"; readonly current: StoredRecord | undefined };

/** One server or instance in the platform's lagging list. */
export type ListedInstance = {
  readonly instanceId: string;
  readonly address: string;
  readonly dataCentre: string;
  readonly state: "live" | "leaving";
};

/** Changes after a store revision. */
export type WatchAnswer = {
  readonly revision: number;
  readonly records: readonly StoredRecord[];
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
  readonly get: (key: string) => Promise<StoredRecord | undefined>;
  readonly list: (prefix: string) => Promise<readonly StoredRecord[]>;
  readonly cas: (request: CasRequest) => Promise<CasAnswer>;
  /** Waits for a change under `prefix` after `revision`, or a while. */
  readonly watch: (prefix: string, revision: number) => Promise<WatchAnswer>;
  readonly grantLease: (ttlMs: number) => Promise<string>;
  readonly keepLease: (leaseId: string) => Promise<boolean>;
  readonly listInstances: () => Promise<readonly ListedInstance[]>;
};
