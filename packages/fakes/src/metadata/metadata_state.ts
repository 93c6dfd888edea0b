import {
  getEventKey,
  getEventRevision,
  type MetadataCommit,
  type MetadataEvent,
  type MetadataItem,
} from "@gooseberryline/core";

type Held = MetadataItem & { readonly leaseId: string | undefined };

const PAGE_ITEMS = 500;

/** Records, history and leases of the stand-in store. */
export class MetadataState {
  readonly #items = new Map<string, Held>();
  readonly #leases = new Map<string, { ttlMs: number; endMs: number }>();
  #history: MetadataEvent[] = [];
  #revision = 1;
  #oldest = 0;
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
      .slice(0, PAGE_ITEMS)
      .flatMap((key) => this.#items.get(key) ?? []);
    return { items, hasMore: keys.length > PAGE_ITEMS };
  }

  /** Undefined where the history does not reach back that far. */
  listChanges(
    prefix: string,
    after: number,
  ): readonly MetadataEvent[] | undefined {
    return after < this.#oldest
      ? undefined
      : this.#history.filter(
          (event) =>
            getEventRevision(event) > after &&
            getEventKey(event).startsWith(prefix),
        );
  }

  /** The items that stand against the commit; undefined once it is done. */
  commit(commit: MetadataCommit): readonly MetadataItem[] | undefined {
    const isHeld = commit.expect.every(
      ({ key, revision }) => (this.#items.get(key)?.revision ?? 0) === revision,
    );
    if (!isHeld) {
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
    this.#oldest = this.#revision;
    this.#history = [];
  }

  grantLease(ttlMs: number, nowMs: number): string {
    this.#leaseCount += 1;
    const leaseId = String(this.#leaseCount);
    this.#leases.set(leaseId, { ttlMs, endMs: nowMs + ttlMs });
    return leaseId;
  }

  /** Its lifetime; undefined for a lease that has ended. */
  keepLease(leaseId: string, nowMs: number): number | undefined {
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
