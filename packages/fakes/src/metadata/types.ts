/** Types of the in-memory fake of the platform's metadata store. */
import type { MetadataStore } from "@gooseberryline/core";

/** Faults that a test can inject into the calls of the store's clients. */
export type MetadataFaults = {
  /** No call is answered and none takes effect. */
  readonly isDown: boolean;
  /** Calls are rejected before they take effect. */
  readonly isRefusing: boolean;
  /** Number of upcoming commits that are applied but not answered. */
  readonly lostCommits: number;
  /**
   * Number of upcoming commits that are not answered and take effect later, by
   * `applyLateCommits`, if their conditions still hold.
   */
  readonly lateCommits: number;
  /** Watches receive no events. */
  readonly isWatchSilent: boolean;
  /** Number of upcoming watches that receive no events until they end. */
  readonly silentWatches: number;
  /** Number of latest changes under the prefix that watches omit. */
  readonly withheldChanges: number;
  /** Reads with `mayBeStale` return no records. */
  readonly isReadStale: boolean;
  /** Number of latest revisions that reads with `mayBeStale` don't show yet. */
  readonly staleRevisions: number;
  /** Most records of a page. */
  readonly pageItems: number;
};

export type FakeMetadata = {
  /** The store interface that clients under test use. */
  readonly store: MetadataStore;
  readonly setFaults: (faults: Partial<MetadataFaults>) => void;
  /**
   * Discards the change history; a pending watch reports it when it times
   * out.
   */
  readonly compact: () => void;
  /** Writes a record unconditionally, as operators and upstreams do. */
  readonly writeRecord: (key: string, value: string) => void;
  readonly remove: (key: string) => void;
  /** Carries out the commits that were delayed, in the order of their calls. */
  readonly applyLateCommits: () => void;
  /** Number of calls so far by kind. */
  readonly calls: Readonly<Record<string, number>>;
};
