/** Interface to the platform's metadata store. */

export type MetadataItem = {
  readonly key: string;
  readonly value: Buffer;
  /** Store revision of the record's last change. */
  readonly revision: number;
};

/** One change under a watched prefix. */
export type MetadataEvent =
  | { readonly kind: "set"; readonly item: MetadataItem }
  | {
      readonly kind: "removed";
      readonly key: string;
      readonly revision: number;
    };

/** Writes that are applied atomically. */
export type MetadataCommit = {
  /** Required current revision of each key; 0 if the key must not exist. */
  readonly expect: readonly {
    readonly key: string;
    readonly revision: number;
  }[];
  readonly set: readonly {
    readonly key: string;
    readonly value: Buffer;
    readonly leaseId?: string;
  }[];
  readonly remove: readonly string[];
};

/** A call that the store did not answer. */
export type MetadataFailure = {
  readonly kind: "failed";
  /** Whether the call is certain to have no effect, now or later. */
  readonly isUndone: boolean;
  readonly step: string;
  readonly reason: string;
};

export type MetadataRead =
  | {
      readonly kind: "read";
      readonly item: MetadataItem | undefined;
      readonly storeRevision: number;
    }
  | MetadataFailure;

export type MetadataPage =
  | {
      readonly kind: "page";
      readonly items: readonly MetadataItem[];
      readonly hasMore: boolean;
      readonly storeRevision: number;
    }
  | MetadataFailure;

export type MetadataChanges =
  | {
      readonly kind: "changes";
      readonly events: readonly MetadataEvent[];
      readonly storeRevision: number;
    }
  /** The requested history was compacted; the records must be read again. */
  | { readonly kind: "compacted" }
  | MetadataFailure;

export type MetadataCommitResult =
  | { readonly kind: "committed"; readonly revision: number }
  /** Current records of the keys in `expect`. */
  | { readonly kind: "conflict"; readonly items: readonly MetadataItem[] }
  | { readonly kind: "lease-gone" }
  | MetadataFailure;

export type MetadataLease =
  | { readonly kind: "lease"; readonly leaseId: string; readonly ttlMs: number }
  | { readonly kind: "lease-gone" }
  | MetadataFailure;

/** Consistency of a read; by default it returns the latest state. */
export type ReadOptions = {
  /** Allows a result that is seconds old, at a fraction of the cost. */
  readonly mayBeStale: boolean;
};

/**
 * The process's only client of the store. Its promises never reject; a call
 * without an answer resolves to a `MetadataFailure`.
 */
export type MetadataStore = {
  readonly readKey: (
    key: string,
    options?: ReadOptions,
  ) => Promise<MetadataRead>;
  /** Returns one page of a prefix, after a key; pages are not a snapshot. */
  readonly listPage: (
    prefix: string,
    after?: string,
    options?: ReadOptions,
  ) => Promise<MetadataPage>;
  /** Waits up to `waitMs` for changes under a prefix after a store revision. */
  readonly watchPrefix: (
    prefix: string,
    afterRevision: number,
    waitMs: number,
    /** Aborts the wait; the call then resolves to a failure. */
    signal?: AbortSignal,
  ) => Promise<MetadataChanges>;
  readonly commit: (commit: MetadataCommit) => Promise<MetadataCommitResult>;
  readonly grantLease: (ttlMs: number) => Promise<MetadataLease>;
  readonly renewLease: (leaseId: string) => Promise<MetadataLease>;
  readonly releaseLease: (leaseId: string) => Promise<MetadataLease>;
};
