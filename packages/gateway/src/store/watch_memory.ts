import {
  getEventKey,
  getEventRevision,
  type MetadataChanges,
  type MetadataEvent,
  type MetadataFailure,
  type MetadataItem,
} from "@gooseberryline/core";
import type { FollowAnswer } from "./types.ts";

/** Bounds of the events that are kept for peers. */
const MAX_EVENTS = 1_000;
const MAX_BYTES = 1_048_576;
const REFUSAL_STEP = "watch-memory";

/**
 * Remembers the latest events of one watch, in the order of revisions, for peers
 * that follow the same prefix here instead of at the store.
 */
export class WatchMemory {
  #events: readonly MetadataEvent[] = [];
  /** The events after this revision are known; none yet if infinite. */
  #floor = Number.POSITIVE_INFINITY;
  #last = 0;
  /** Whether the watch asks the store itself, so that peers may wait here. */
  #isServing = false;
  /** Why the store did not answer the watch, while it doesn't. */
  #failure: MetadataFailure | undefined;
  /** All records as last seen; complete once loaded. */
  readonly #records = new Map<string, MetadataItem>();
  readonly #waiters = new Set<() => void>();

  /** Returns whether an answer refuses to tell, and says nothing of the store. */
  static isRefusal(answer: { readonly kind: string; readonly step?: string }) {
    return answer.kind === "failed" && answer.step === REFUSAL_STEP;
  }

  /** Records that all records were listed at a revision. */
  recordLoad(revision: number, keys: ReadonlySet<string>): void {
    [...this.#records.keys()]
      .filter((key) => !keys.has(key))
      .forEach((key) => {
        this.#records.delete(key);
      });
    this.#events = [];
    this.#floor = revision;
    this.#last = revision;
    this.#failure = undefined;
    this.#wake();
  }

  /** Records some of the records of a listing. */
  recordItems(items: readonly MetadataItem[]): void {
    items
      .filter(({ key, revision }) => revision > this.#getRevision(key))
      .forEach((item) => {
        this.#records.set(item.key, item);
      });
  }

  /**
   * Describes how a peer's listing differs from what is known here, as events. Those
   * later than its revision are left to the watch that goes on from there.
   */
  compare(
    listing: FollowAnswer & { readonly kind: "listing" },
  ): MetadataChanges {
    const { items, revision } = listing;
    const keys = new Set(items.map(({ key }) => key));
    const set = items
      .filter((item) => item.revision <= revision)
      .filter(({ key, revision: own }) => own > this.#getRevision(key))
      .map((item) => ({ kind: "set", item }) as const);
    const removed = [...this.#records.values()]
      .filter(({ key, revision: own }) => !keys.has(key) && own <= revision)
      .map(({ key }) => ({ kind: "removed", key, revision }) as const);
    const events = [...set, ...removed];
    return { kind: "changes", events, storeRevision: revision };
  }

  #getRevision(key: string): number {
    return this.#records.get(key)?.revision ?? 0;
  }

  /** Records what the watch brought, and tells those who wait. */
  record(changes: MetadataChanges): void {
    switch (changes.kind) {
      case "changes":
        this.#append(changes.events);
        if (changes.events.length > 0 || this.#failure !== undefined) {
          this.#failure = undefined;
          this.#wake();
        }
        return;
      case "compacted":
        // Those who wait are told what differs once all has been listed.
        this.#floor = Number.POSITIVE_INFINITY;
        return;
      case "failed":
        this.#failure = changes;
        this.#wake();
    }
  }

  setServing(isServing: boolean): void {
    if (this.#isServing !== isServing) {
      this.#isServing = isServing;
      this.#wake();
    }
  }

  /** Returns the events after a revision; undefined if there is none, or some may be missing. */
  recall(after: number): MetadataChanges | undefined {
    if (after < this.#floor) {
      return undefined;
    }
    const events = this.#events.filter(
      (event) => getEventRevision(event) > after,
    );
    return events.length === 0
      ? undefined
      : { kind: "changes", events, storeRevision: this.#last };
  }

  /**
   * Waits for events after a revision. Ends without any once the watch has been
   * answered or failed, as the peer's own would, and refuses where none can be told.
   */
  async wait(
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<FollowAnswer> {
    const known = this.recall(after);
    if (known !== undefined) {
      return known;
    }
    if (!this.#isServing || (this.#isLoaded && !this.#canTell(after))) {
      return this.#list(after);
    }
    await this.#waitForNews(waitMs, signal);
    return this.recall(after) ?? this.#answerWithout(after);
  }

  #answerWithout(after: number): FollowAnswer {
    if (this.#failure !== undefined && this.#isServing) {
      return this.#failure;
    }
    return this.#canTell(after)
      ? { kind: "changes", events: [], storeRevision: 0 }
      : this.#list(after);
  }

  get #isLoaded(): boolean {
    return this.#floor < Number.POSITIVE_INFINITY;
  }

  /** Lists all records, unless the peer knows of later changes. */
  #list(after: number): FollowAnswer {
    const items = [...this.#records.values()];
    return this.#isServing && this.#isLoaded && this.#last >= after
      ? { kind: "listing", items, revision: this.#last }
      : refuse();
  }

  #canTell(after: number): boolean {
    return this.#isServing && after >= this.#floor;
  }

  #waitForNews(waitMs: number, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const finish = (): void => {
        clearTimeout(timer);
        signal.removeEventListener("abort", finish);
        this.#waiters.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, waitMs);
      signal.addEventListener("abort", finish);
      this.#waiters.add(finish);
    });
  }

  #wake(): void {
    [...this.#waiters].forEach((finish) => {
      finish();
    });
  }

  #append(events: readonly MetadataEvent[]): void {
    const news = events
      .filter((event) => getEventRevision(event) > this.#last)
      .sort((a, b) => getEventRevision(a) - getEventRevision(b));
    const newest = news.at(-1);
    if (newest !== undefined) {
      news.forEach((event) => {
        this.#keep(event);
      });
      this.#events = [...this.#events, ...news];
      this.#last = getEventRevision(newest);
      this.#shrink();
    }
  }

  #keep(event: MetadataEvent): void {
    const revision = getEventRevision(event);
    if (this.#getRevision(getEventKey(event)) >= revision) {
      return;
    }
    if (event.kind === "set") {
      this.#records.set(event.item.key, event.item);
    } else {
      this.#records.delete(event.key);
    }
  }

  /** Drops the oldest events beyond the bounds, all of a revision together. */
  #shrink(): void {
    const sizes = this.#events.map(measureBytes);
    const total = sizes.reduce((sum, bytes) => sum + bytes, 0);
    const { dropped } = sizes.reduce(
      ({ left, dropped }, bytes, index) =>
        left > MAX_BYTES || this.#events.length - index > MAX_EVENTS
          ? { left: left - bytes, dropped: index + 1 }
          : { left, dropped },
      { left: total, dropped: 0 },
    );
    const last = this.#events[dropped - 1];
    if (last !== undefined) {
      const floor = getEventRevision(last);
      this.#floor = floor;
      this.#events = this.#events.filter(
        (event) => getEventRevision(event) > floor,
      );
    }
  }
}

function measureBytes(event: MetadataEvent): number {
  return event.kind === "set" ? event.item.value.length : 0;
}

function refuse(): MetadataFailure {
  const reason = "not watched here, or not since that revision";
  return { kind: "failed", isUndone: true, step: REFUSAL_STEP, reason };
}
