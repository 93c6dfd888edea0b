import {
  getEventKey,
  getEventRevision,
  type MetadataCommit,
  type MetadataEvent,
  type MetadataItem,
} from "@gooseberryline/core";

type StoredItem = MetadataItem & { readonly leaseId: string | undefined };

const PAGE_SIZE = 500;

/** Holds the records, the history and the leases of the fake metadata store. */
export class MetadataState {
  readonly #items = new Map<string, StoredItem>();
  readonly #leases = new Map<string, { ttlMs: number; endMs: number }>();
  #history: MetadataEvent[] = [];
  #revision = 1;
  #compactedRevision = 0;
  #leaseCount = 0;

  get revision(): number {
    return this.#revision;
  }

  read(key: string): MetadataItem | undefined {
    return this.#items.get(key);
  }

  listPage(prefix: string, after: string | undefined) {
    const keys = [...this.#items.keys()]
      .filter((key) => key.startsWith(prefix))
      .filter((key) => after === undefined || key > after)
      .sort();
    const items = keys
      .slice(0, PAGE_SIZE)
      .flatMap((key) => this.#items.get(key) ?? []);
    return { items, hasMore: keys.length > PAGE_SIZE };
  }

  /**
   * Returns the changes after a revision, or undefined if the history was
   * compacted past it.
   */
  listChanges(
    prefix: string,
    after: number,
  ): readonly MetadataEvent[] | undefined {
    return after < this.#compactedRevision
      ? undefined
      : this.#history.filter(
          (event) =>
            getEventRevision(event) > after &&
            getEventKey(event).startsWith(prefix),
        );
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
      this.#history.push({ kind: "set", item });
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
      this.#history.push({ kind: "removed", key, revision });
    }
  }
}
