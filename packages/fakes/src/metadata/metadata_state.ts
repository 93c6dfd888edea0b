import {
  getEventKey,
  getEventRevision,
  type MetadataCommit,
  type MetadataEvent,
  type MetadataItem,
} from "@gooseberryline/core";

type StoredItem = MetadataItem & { readonly leaseId: string | undefined };

/** Size of the records of a page, in bytes, beyond which it is cut. */
const PAGE_BYTES = 1_000_000;

/** Holds the records, the history and the leases of the fake metadata store. */
export class MetadataState {
  readonly #items = new Map<string, StoredItem>();
  readonly #leases = new Map<string, { ttlMs: number; endMs: number }>();
  #history: MetadataEvent[] = [];
  /** All changes, those before a compaction included. */
  readonly #changes: MetadataEvent[] = [];
  #revision = 1;
  #compactedRevision = 0;
  #leaseCount = 0;

  get revision(): number {
    return this.#revision;
  }

  /** Reads a record as it stood at a revision. */
  read(key: string, revision: number): MetadataItem | undefined {
    return this.#listItems(revision).get(key);
  }

  /** Lists records as they stood at a revision. */
  listPage(
    prefix: string,
    after: string | undefined,
    maxItems: number,
    revision: number,
  ) {
    const found = [...this.#listItems(revision).values()]
      .filter(({ key }) => key.startsWith(prefix))
      .filter(({ key }) => after === undefined || key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const items = found
      .slice(0, maxItems)
      .filter((_, index) => index === 0 || hasRoom(found.slice(0, index + 1)));
    return { items, hasMore: found.length > items.length };
  }

  #listItems(revision: number): ReadonlyMap<string, MetadataItem> {
    if (revision >= this.#revision) {
      return this.#items;
    }
    const items = new Map<string, MetadataItem>();
    this.#changes
      .filter((change) => getEventRevision(change) <= revision)
      .forEach((change) => {
        if (change.kind === "set") {
          items.set(change.item.key, change.item);
        } else {
          items.delete(change.key);
        }
      });
    return items;
  }

  #record(change: MetadataEvent): void {
    this.#history.push(change);
    this.#changes.push(change);
  }

  /**
   * Returns the changes after a revision, or undefined if the history was
   * compacted past it.
   */
  listChanges(
    prefix: string,
    after: number,
  ): readonly MetadataEvent[] | undefined {
    if (after < this.#compactedRevision) {
      return undefined;
    }
    // The history is in the order of revisions, and is long in long runs.
    const seen = this.#history.findLastIndex(
      (event) => getEventRevision(event) <= after,
    );
    return this.#history
      .slice(seen + 1)
      .filter((event) => getEventKey(event).startsWith(prefix));
  }

  /** Applies a commit, or returns the conflicting items. */
  commit(commit: MetadataCommit): readonly MetadataItem[] | undefined {
    const isExpected = commit.expect.every(
      ({ key, revision }) => (this.#items.get(key)?.revision ?? 0) === revision,
    );
    if (!isExpected) {
      return commit.expect.flatMap(({ key }) => this.#items.get(key) ?? []);
    }
    this.#revision += 1;
    commit.set.forEach(({ key, value, leaseId }) => {
      const item = { key, value, revision: this.#revision, leaseId };
      this.#items.set(key, item);
      this.#record({ kind: "set", item });
    });
    commit.remove.forEach((key) => {
      this.#drop(key);
    });
    return undefined;
  }

  compact(): void {
    this.#compactedRevision = this.#revision;
    this.#history = [];
  }

  grantLease(ttlMs: number, nowMs: number): string {
    this.#leaseCount += 1;
    const leaseId = String(this.#leaseCount);
    this.#leases.set(leaseId, { ttlMs, endMs: nowMs + ttlMs });
    return leaseId;
  }

  /** Renews a lease; returns its TTL, or undefined if it has ended. */
  renewLease(leaseId: string, nowMs: number): number | undefined {
    const lease = this.#leases.get(leaseId);
    if (lease !== undefined) {
      lease.endMs = nowMs + lease.ttlMs;
    }
    return lease?.ttlMs;
  }

  hasLease(leaseId: string): boolean {
    return this.#leases.has(leaseId);
  }

  endLease(leaseId: string): void {
    this.#leases.delete(leaseId);
    const keys = [...this.#items.values()]
      .filter((item) => item.leaseId === leaseId)
      .map(({ key }) => key);
    if (keys.length > 0) {
      this.#revision += 1;
    }
    keys.forEach((key) => {
      this.#drop(key);
    });
  }

  expireLeases(nowMs: number): void {
    [...this.#leases]
      .filter(([, { endMs }]) => endMs <= nowMs)
      .forEach(([leaseId]) => {
        this.endLease(leaseId);
      });
  }

  #drop(key: string): void {
    if (this.#items.delete(key)) {
      const revision = this.#revision;
      this.#record({ kind: "removed", key, revision });
    }
  }
}

/** Returns whether records fit into one page. */
function hasRoom(items: readonly MetadataItem[]): boolean {
  const bytes = items.reduce((sum, { value }) => sum + value.length, 0);
  return bytes <= PAGE_BYTES;
}
