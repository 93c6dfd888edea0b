import {
  type EventLog,
  getEventKey,
  getEventRevision,
  type MetadataChanges,
  type MetadataEvent,
  type MetadataStore,
} from "@gooseberryline/core";
import { runSlowStep } from "../steps/run_slow_step.ts";
import { runStep } from "../steps/run_step.ts";
import { waitMs } from "../wait_ms.ts";
import { computeRetryDelayMs } from "./compute_retry_delay_ms.ts";
import { computeWatchWaitMs } from "./compute_watch_wait_ms.ts";
import { WATCH_TIMING } from "./constants.ts";
import type { SharedWatch } from "./shared_watch.ts";
import type { WatchRank } from "./types.ts";
import { WatchCatchUp } from "./watch_catch_up.ts";

type PrefixWatchParts = {
  readonly store: MetadataStore;
  /** Asks for changes by another way than the watch that waits. */
  readonly detour: Pick<MetadataStore, "watchPrefix">;
  readonly prefix: string;
  readonly log: EventLog;
  /** Returns this instance's rank among the watchers of the same records. */
  readonly getWatchRank: () => WatchRank;
  readonly onEvent: (event: MetadataEvent) => void;
  /**
   * Minimum time between the starts of two watches, in ms, so that changes in
   * quick succession cost one call; none by default.
   */
  readonly minIntervalMs?: number;
  /** Lets peers of the data centre share a watch; each has its own by default. */
  readonly shared?: SharedWatch | undefined;
};

/**
 * Follows the records under a prefix: lists them all, then watches. If the
 * store's history is compacted, lists again and reports the differences. While
 * the store is unreachable, the last known records remain valid.
 */
export class PrefixWatch {
  readonly #parts: PrefixWatchParts;
  /** Revision of each record as last reported to `onEvent`. */
  readonly #knownRevisions = new Map<string, number>();
  #revision = 0;
  /** Store revision of the latest change reported, for peers. */
  #seen = 0;
  #isCurrent = false;
  #watchAbort: AbortController | undefined;
  readonly #catchUp: WatchCatchUp;
  #failures = 0;
  /** When the last watch started, on the monotonic clock, in ms. */
  #startedMs = Number.NEGATIVE_INFINITY;
  /** Whether the next watch waits for the minimum time between two. */
  #isPausing = false;
  #isStopped = false;
  #onLoaded: () => void = () => undefined;
  /** Resolves once the prefix has been listed completely. */
  readonly loaded: Promise<void>;

  constructor(parts: PrefixWatchParts) {
    this.#parts = parts;
    const { detour, prefix, log } = parts;
    this.#catchUp = new WatchCatchUp({
      detour,
      prefix,
      log,
      getRevision: () => (this.#isCurrent ? this.#revision : undefined),
      getWatchAbort: () => this.#watchAbort,
      measurePauseMs: () => this.#measurePauseMs(),
      onNews: (changes) => {
        this.#adopt(changes);
      },
    });
    this.loaded = new Promise((resolve) => {
      this.#onLoaded = resolve;
    });
  }

  start(): void {
    void this.#follow();
  }

  stop(): void {
    this.#isStopped = true;
    this.#parts.shared?.stop();
    this.#catchUp.stop();
    this.#watchAbort?.abort();
  }

  get prefix(): string {
    return this.#parts.prefix;
  }

  get seen(): number {
    return this.#seen;
  }

  /** Takes over records that a read of the store has shown. */
  applyEvents(events: readonly MetadataEvent[]): void {
    events.forEach((event) => {
      this.#parts.shared?.recordRead(event);
      this.#applyEvent(event);
    });
  }

  /** Handles the latest revision that a peer has seen. */
  handlePeerRevision(revision: number): void {
    this.#catchUp.handlePeerRevision(revision);
  }

  /** Asks for changes that exist by what another record says. */
  requestChanges(): void {
    this.#catchUp.requestChanges();
  }

  /** Returns how long no watch asks, at most, since one was just answered. */
  #measurePauseMs(): number {
    const { minIntervalMs = 0, shared } = this.#parts;
    if (shared?.isFollowing === true) {
      return minIntervalMs;
    }
    return this.#isPausing
      ? Math.max(0, this.#startedMs + minIntervalMs - performance.now())
      : 0;
  }

  async #follow(): Promise<void> {
    while (!this.#isStopped) {
      await this.#followOnce();
    }
  }

  async #followOnce(): Promise<void> {
    const { log, prefix } = this.#parts;
    const isReached = await runSlowStep(
      log,
      { step: "watch", key: prefix },
      () => (this.#isCurrent ? this.#waitForChanges() : this.#load()),
    );
    if (isReached === true) {
      this.#recordSuccess();
      return;
    }
    if (isReached === undefined) {
      this.#recordFailure("a fault of the program");
    }
    await waitMs(computeRetryDelayMs(this.#failures));
  }

  async #load(after?: string, seen = new Set<string>()): Promise<boolean> {
    const { store, prefix } = this.#parts;
    const page = await store.listPage(prefix, after);
    if (page.kind === "failed") {
      this.#parts.shared?.record(page);
      this.#recordFailure(page.reason);
      return false;
    }
    // The watch starts from the lowest revision of all pages, so that it
    // includes changes made between two pages.
    this.#revision =
      after === undefined
        ? page.storeRevision
        : Math.min(this.#revision, page.storeRevision);
    this.#parts.shared?.recordItems(page.items);
    page.items.forEach((item) => {
      seen.add(item.key);
      this.#applyEvent({ kind: "set", item });
    });
    const last = page.items.at(-1);
    if (page.hasMore && last !== undefined) {
      return this.#load(last.key, seen);
    }
    this.#applyRemovals(seen);
    this.#isCurrent = true;
    this.#parts.shared?.recordLoad(this.#revision, seen);
    this.#onLoaded();
    return true;
  }

  #applyRemovals(seen: ReadonlySet<string>): void {
    // Higher than any known revision, so that each removal is applied.
    const revision = Number.MAX_SAFE_INTEGER;
    const missing = [...this.#knownRevisions.keys()].filter(
      (key) => !seen.has(key),
    );
    missing.forEach((key) => {
      this.#applyEvent({ kind: "removed", key, revision });
    });
    if (missing.length > 0) {
      // The revisions of these removals are unknown. Reporting the revision of
      // the listing makes peers check for them as well.
      this.#seen = Math.max(this.#seen, this.#revision);
    }
  }

  async #waitForChanges(): Promise<boolean> {
    const { minIntervalMs = 0, shared } = this.#parts;
    const isFollowing = shared?.chooseSource() === true;
    const pauseMs = this.#startedMs + minIntervalMs - performance.now();
    if (pauseMs > 0 && !isFollowing) {
      this.#isPausing = true;
      await waitMs(pauseMs);
      this.#isPausing = false;
    }
    this.#startedMs = performance.now();
    return this.#isStopped || this.#watch();
  }

  async #watch(): Promise<boolean> {
    const { store, prefix, shared } = this.#parts;
    const abort = new AbortController();
    this.#watchAbort = abort;
    const changes = await (shared ?? store).watchPrefix(
      prefix,
      this.#revision,
      this.#computeWaitMs(),
      abort.signal,
    );
    this.#catchUp.dropDetours();
    return abort.signal.aborted || this.#adopt(changes);
  }

  /** Takes over what a watch brought; returns whether the store answered it. */
  #adopt(changes: MetadataChanges): boolean {
    const { prefix, log, shared } = this.#parts;
    shared?.record(changes);
    switch (changes.kind) {
      case "changes":
        // The store's revision may be ahead of changes not delivered yet, so
        // the next watch starts from the last change received.
        changes.events.forEach((event) => {
          this.#applyEvent(event);
          this.#revision = Math.max(this.#revision, getEventRevision(event));
        });
        return true;
      case "compacted":
        log.info("watch-history-gone", { prefix, revision: this.#revision });
        this.#isCurrent = false;
        return true;
      case "failed":
        this.#recordFailure(changes.reason);
        return false;
    }
  }

  /**
   * Returns how long the next watch waits, in ms. The wait is limited after a
   * failure, since the store reports a compacted history only when a waiting
   * watch ends.
   */
  #computeWaitMs(): number {
    const rank = this.#parts.getWatchRank();
    const staggeredMs = computeWatchWaitMs(rank, Date.now());
    return this.#failures > 0
      ? Math.min(WATCH_TIMING.RECOVERY_WAIT_MS, staggeredMs)
      : staggeredMs;
  }

  /** Reports a change once; ignores older revisions of a record. */
  #applyEvent(event: MetadataEvent): void {
    const key = getEventKey(event);
    const revision = getEventRevision(event);
    const known = this.#knownRevisions.get(key);
    if (known !== undefined && known >= revision) {
      return;
    }
    if (revision < Number.MAX_SAFE_INTEGER) {
      this.#seen = Math.max(this.#seen, revision);
    }
    if (event.kind === "set") {
      this.#knownRevisions.set(key, revision);
    } else {
      this.#knownRevisions.delete(key);
    }
    const { log, onEvent } = this.#parts;
    runStep(log, { step: "watch-event", key }, () => onEvent(event));
  }

  #recordSuccess(): void {
    if (this.#failures > 0) {
      this.#parts.log.info("watch-regained", {
        prefix: this.#parts.prefix,
        failures: this.#failures,
      });
    }
    this.#failures = 0;
  }

  #recordFailure(reason: string): void {
    if (this.#failures === 0) {
      const { log, prefix } = this.#parts;
      log.warn("watch-lost", { prefix, revision: this.#revision, reason });
    }
    this.#failures += 1;
  }
}
