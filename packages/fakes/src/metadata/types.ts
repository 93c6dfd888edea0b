/** A stand-in for the platform's metadata store, in memory. */
import type { MetadataStore } from "@gooseberryline/core";

/** What goes wrong with the calls of one client, or of all. */
export type MetadataFaults = {
  /** No call is answered, and none has an effect. */
  readonly isDown: boolean;
  /** Calls are turned away before they have an effect. */
  readonly isRefusing: boolean;
  /** So many of the next commits are done and not answered. */
  readonly lostCommits: number;
  /** Watches hear nothing. */
  readonly isDeaf: boolean;
  /** So many of the next watches hear nothing until they end. */
  readonly silentWatches: number;
  /** Watches leave out so many of the latest changes under their prefix. */
  readonly keptBack: number;
  /** Reads that may be stale show none of the records. */
  readonly isBehind: boolean;
};

export type FakeMetadata = {
  /** The store as one client reaches it. */
  readonly store: MetadataStore;
  readonly setFaults: (faults: Partial<MetadataFaults>) => void;
  /** Forgets what changed so far; a watch that waits is told at its end. */
  readonly compact: () => void;
  /** Writes as operators and upstreams do. */
  readonly put: (key: string, value: string) => void;
  readonly remove: (key: string) => void;
  /** Calls so far, by kind. */
  readonly calls: Readonly<Record<string, number>>;
};
