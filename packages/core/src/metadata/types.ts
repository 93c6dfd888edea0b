/** The platform's metadata store, as the product uses it. */

export type MetadataItem = {
  readonly key: string;
  readonly value: Buffer;
  /** Store revision of its last change. */
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

/** Writes that happen together or not at all. */
export type MetadataCommit = {
  /** Revision that each key must have; 0 for a key that must not exist. */
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

/** A call that brought no answer of the store. */
export type MetadataFailure = {
  readonly kind: "failed";
  /** Whether it certainly had and will have no effect. */
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
  /** The history asked for is gone: read again. */
  | { readonly kind: "compacted" }
  | MetadataFailure;

export type MetadataCommitted =
  | { readonly kind: "committed"; readonly revision: number }
  /** The keys of `expect` as they are. */
  | { readonly kind: "conflict"; readonly items: readonly MetadataItem[] }
  | { readonly kind: "lease-gone" }
  | MetadataFailure;

export type MetadataLease =
  | { readonly kind: "lease"; readonly leaseId: string; readonly ttlMs: number }
  | { readonly kind: "lease-gone" }
  | MetadataFailure;

/**
 * The one client of the store. No call rejects: one without an answer comes
 * back as a `MetadataFailure`.
 */
/** How a read is answered; the latest state where nothing is said. */
export type ReadOptions = {
  /** May be seconds old, at a fraction of the price. */
  readonly mayBeStale: boolean;
};

export type MetadataStore = {
  readonly readKey: (
    key: string,
    options?: ReadOptions,
  ) => Promise<MetadataRead>;
  /** One page of a prefix, after a key; pages are not a snapshot. */
  readonly listPage: (
    prefix: string,
    after?: string,
    options?: ReadOptions,
  ) => Promise<MetadataPage>;
  /** Waits for changes under a prefix after a store revision. */
  readonly watchPrefix: (
    prefix: string,
    afterRevision: number,
    waitMs: number,
    /** Ends the wait early, with a failure. */
    signal?: AbortSignal,
  ) => Promise<MetadataChanges>;
  readonly commit: (commit: MetadataCommit) => Promise<MetadataCommitted>;
  readonly grantLease: (ttlMs: number) => Promise<MetadataLease>;
  readonly keepLease: (leaseId: string) => Promise<MetadataLease>;
  readonly endLease: (leaseId: string) => Promise<MetadataLease>;
};
