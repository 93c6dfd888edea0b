import type {
  EventLog,
  FleetMember,
  MetadataChanges,
  MetadataEvent,
  MetadataFailure,
  MetadataItem,
  MetadataStore,
} from "@gooseberryline/core";
import { WATCH_TIMING } from "./constants.ts";
import type { RelayClient } from "./relay_client.ts";
import type { FollowAnswer } from "./types.ts";
import { WATCH_ABORTS } from "./watch_aborts.ts";
import { WatchMemory } from "./watch_memory.ts";

type SharedWatchParts = {
  readonly prefix: string;
  readonly store: Pick<MetadataStore, "watchPrefix">;
  readonly memory: WatchMemory;
  readonly relay: Pick<RelayClient, "send">;
  /** Returns the peer that watches the prefix; undefined if none does. */
  readonly chooseWatcher: (
    isAvoided: (id: string) => boolean,
  ) => FleetMember | undefined;
  readonly isHeard: (watcher: FleetMember) => boolean;
  /** Returns whether a watcher does not reach the store, though others do. */
  readonly isWorse: (watcher: FleetMember) => boolean;
  /** Called with whether the store answered the watch of the peer. */
  readonly onContact: (isReached: boolean) => void;
  readonly log: EventLog;
};

const NO_CHANGES: MetadataChanges = {
  kind: "changes",
  events: [],
  storeRevision: 0,
};

/**
 * Watches a prefix at a peer of the data centre, or at the store where no peer does.
 * A peer that refuses, fails, is lost or behind is avoided for a while.
 */
export class SharedWatch {
  readonly #parts: SharedWatchParts;
  #watcher: FleetMember | undefined;
  /** Since when it has answered none, on the monotonic clock, in ms. */
  #failingSinceMs: number | undefined;
  /** When a peer may be asked again, on the monotonic clock, in ms. */
  readonly #avoidedUntil = new Map<string, number>();
  #isStopped = false;
  /** The revision up to which a peer's listing has told all changes. */
  #complete = 0;

  constructor(parts: SharedWatchParts) {
    this.#parts = parts;
  }

  /** Whether the current watch is at a peer. */
  get isFollowing(): boolean {
    return this.#watcher !== undefined;
  }

  /** Chooses whom the next watch asks; returns whether it is a peer. */
  chooseSource(): boolean {
    const { chooseWatcher, memory, prefix, log } = this.#parts;
    const before = this.#watcher?.id;
    if (!this.#canKeepSource()) {
      this.#watcher = chooseWatcher((id) => this.#isAvoided(id));
    }
    memory.setServing(this.#watcher === undefined && !this.#isStopped);
    if (this.#watcher?.id !== before) {
      log.info("watch-source", { prefix, peer: this.#watcher?.id });
    }
    return this.#watcher !== undefined;
  }

  /**
   * Whoever fails may do so since the store does for all. What is known of who
   * reaches it is out of date then, so the source stays for a while.
   */
  #canKeepSource(): boolean {
    const { KEEP_SOURCE_MS } = WATCH_TIMING;
    return (
      this.#failingSinceMs !== undefined &&
      performance.now() - this.#failingSinceMs < KEEP_SOURCE_MS
    );
  }

  #recordContact(isAnswered: boolean): void {
    this.#failingSinceMs = isAnswered
      ? undefined
      : (this.#failingSinceMs ?? performance.now());
  }

  recordItems(items: readonly MetadataItem[]): void {
    this.#parts.memory.recordItems(items);
  }

  /** Records what a read has shown, so that its removal is noticed as well. */
  recordRead(event: MetadataEvent): void {
    if (event.kind === "set") {
      this.#parts.memory.recordItems([event.item]);
    }
  }

  recordLoad(revision: number, keys: ReadonlySet<string>): void {
    this.#parts.memory.recordLoad(revision, keys);
  }

  /** Records what a watch or a detour brought. */
  record(changes: MetadataChanges | MetadataFailure): void {
    if (changes !== NO_CHANGES) {
      this.#recordContact(changes.kind !== "failed");
    }
    this.#parts.memory.record(changes);
  }

  stop(): void {
    this.#isStopped = true;
    this.#parts.memory.setServing(false);
  }

  watchPrefix(
    prefix: string,
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<MetadataChanges> {
    const watcher = this.#watcher;
    return watcher === undefined
      ? this.#parts.store.watchPrefix(prefix, after, waitMs, signal)
      : this.#follow(watcher, { after, waitMs }, signal);
  }

  async #follow(
    watcher: FleetMember,
    wait: { readonly after: number; readonly waitMs: number },
    signal: AbortSignal,
  ): Promise<MetadataChanges> {
    const { relay, prefix, isHeard, isWorse, onContact } = this.#parts;
    const lost = new AbortController();
    const timer = setInterval(() => {
      if (!isHeard(watcher) || isWorse(watcher)) {
        lost.abort();
      }
    }, WATCH_TIMING.WATCHER_CHECK_MS);
    const after = Math.max(wait.after, this.#complete);
    const answer = (await relay.send(
      watcher,
      { kind: "follow", prefix, after, waitMs: wait.waitMs },
      AbortSignal.any([signal, lost.signal]),
    )) as FollowAnswer;
    clearInterval(timer);
    if (signal.aborted) {
      if (signal.reason === WATCH_ABORTS.behind) {
        this.#avoid(watcher);
      }
      return NO_CHANGES;
    }
    if (lost.signal.aborted || isNoAnswer(answer)) {
      this.#avoid(watcher);
      // The next watch asks another, at once.
      return NO_CHANGES;
    }
    onContact(answer.kind !== "failed");
    if (answer.kind === "failed") {
      // The watcher tries again in its time; its news is waited for meanwhile.
      this.#recordContact(false);
      return NO_CHANGES;
    }
    if (answer.kind !== "listing") {
      return answer;
    }
    this.#complete = answer.revision;
    return this.#parts.memory.compare(answer);
  }

  #isAvoided(id: string): boolean {
    return (this.#avoidedUntil.get(id) ?? 0) > performance.now();
  }

  #avoid({ id }: FleetMember): void {
    this.#failingSinceMs = undefined;
    const untilMs = performance.now() + WATCH_TIMING.AVOID_WATCHER_MS;
    this.#avoidedUntil.set(id, untilMs);
  }
}

/** Returns whether the peer told nothing of the store: refused, or not reached. */
function isNoAnswer(answer: FollowAnswer): boolean {
  return (
    answer.kind === "failed" &&
    (WatchMemory.isRefusal(answer) || answer.step === "follow")
  );
}
