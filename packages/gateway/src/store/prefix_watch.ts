import {
  type EventLog,
  getEventKey,
  getEventRevision,
  type MetadataEvent,
  type MetadataStore,
} from "@gooseberryline/core";
import { waitMs } from "../wait_ms.ts";
import { computeWatchWaitMs } from "./compute_watch_wait_ms.ts";
import { WATCH_TIMING } from "./constants.ts";
import type { WatchRank } from "./types.ts";

type PrefixWatchParts = {
  readonly store: MetadataStore;
  readonly prefix: string;
  readonly log: EventLog;
  /** This instance among those that watch the same records. */
  readonly getTurn: () => WatchRank;
  readonly onEvent: (event: MetadataEvent) => void;
};

/**
 * Follows the records under a prefix: reads them all, then watches. A gap in
 * the history leads to a fresh read, told as the changes since the last one.
 * While the store is away the last known records stand.
 */
export class PrefixWatch {
  readonly #parts: PrefixWatchParts;
  /** Revision of each record as last told. */
  readonly #knownRevisions = new Map<string, number>();
  #revision = 0;
  /** Store revision of the last change that was told. */
  #lastSeenRevision = 0;
  #isCurrent = false;
  #watchAbort: AbortController | undefined;
  #behindTimer: NodeJS.Timeout | undefined;
  #failures = 0;
  #isStopped = false;
  #onLoaded: () => void = () => undefined;
  /** Settles once the prefix was read whole for the first time. */
  readonly loaded: Promise<void>;

  constructor(parts: PrefixWatchParts) {
    this.#parts = parts;
    this.loaded = new Promise((resolve) => {
      this.#onLoaded = resolve;
    });
  }

  start(): void {
    void this.#follow();
  }

  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#behindTimer);
    this.#watchAbort?.abort();
  }

  get prefix(): string {
    return this.#parts.prefix;
  }

  get seen(): number {
    return this.#lastSeenRevision;
  }

  /**
   * Takes what a peer has seen. A watch that stays behind it has a connection
   * that has gone silent: it is opened anew.
   */
  noteElsewhere(revision: number): void {
    const isBehind = this.#isCurrent && revision > this.#revision;
    if (!isBehind || this.#behindTimer !== undefined) {
      return;
    }
    this.#behindTimer = setTimeout(() => {
      this.#behindTimer = undefined;
      if (revision > this.#revision) {
        const { log, prefix } = this.#parts;
        log.warn("watch-behind", { prefix, own: this.#revision, revision });
        this.#watchAbort?.abort();
      }
    }, WATCH_TIMING.BEHIND_TIMEOUT_MS);
  }

  async #follow(): Promise<void> {
    while (!this.#isStopped) {
      const isDone = this.#isCurrent ? await this.#watch() : await this.#load();
      if (isDone) {
        this.#recordSuccess();
      } else {
        await this.#waitBeforeRetry();
      }
    }
  }

  async #load(after?: string, seen = new Set<string>()): Promise<boolean> {
    const { store, prefix } = this.#parts;
    const page = await store.listPage(prefix, after);
    if (page.kind === "failed") {
      this.#recordFailure(page.reason);
      return false;
    }
    // Changes made between two pages are told again by the watch.
    this.#revision =
      after === undefined
        ? page.storeRevision
        : Math.min(this.#revision, page.storeRevision);
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
    this.#onLoaded();
    return true;
  }

  #applyRemovals(seen: ReadonlySet<string>): void {
    // Whatever was known of them is older than their removal.
    const revision = Number.MAX_SAFE_INTEGER;
    const missing = [...this.#knownRevisions.keys()].filter(
      (key) => !seen.has(key),
    );
    missing.forEach((key) => {
      this.#applyEvent({ kind: "removed", key, revision });
    });
    if (missing.length > 0) {
      // When they went is not known; peers have to look as well.
      this.#lastSeenRevision = Math.max(this.#lastSeenRevision, this.#revision);
    }
  }

  async #watch(): Promise<boolean> {
    const { store, prefix, log } = this.#parts;
    const waiting = new AbortController();
    this.#watchAbort = waiting;
    const changes = await store.watchPrefix(
      prefix,
      this.#revision,
      this.#computeWaitMs(),
      waiting.signal,
    );
    if (waiting.signal.aborted) {
      return true;
    }
    switch (changes.kind) {
      case "changes":
        // The store's revision may be beyond changes that were kept back: the
        // next watch starts from the last change that was told.
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

  /** The store tells a watch that waits of a lost history at its end only. */
  #computeWaitMs(): number {
    const turnMs = computeWatchWaitMs(this.#parts.getTurn(), Date.now());
    return this.#failures > 0
      ? Math.min(WATCH_TIMING.RECOVERY_WAIT_MS, turnMs)
      : turnMs;
  }

  /** Tells a change once; an older state of a record is passed over. */
  #applyEvent(event: MetadataEvent): void {
    const key = getEventKey(event);
    const revision = getEventRevision(event);
    const known = this.#knownRevisions.get(key);
    if (known !== undefined && known >= revision) {
      return;
    }
    if (revision < Number.MAX_SAFE_INTEGER) {
      this.#lastSeenRevision = Math.max(this.#lastSeenRevision, revision);
    }
    if (event.kind === "set") {
      this.#knownRevisions.set(key, revision);
    } else {
      this.#knownRevisions.delete(key);
    }
    this.#parts.onEvent(event);
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

  #waitBeforeRetry(): Promise<void> {
    const doubled = WATCH_TIMING.MIN_RETRY_DELAY_MS * 2 ** (this.#failures - 1);
    const delayMs = Math.min(WATCH_TIMING.MAX_RETRY_DELAY_MS, doubled);
    // Spread, so that instances do not return to a recovering store at once.
    const spreadMs = delayMs * (0.5 + Math.random());
    return waitMs(spreadMs);
  }
}
