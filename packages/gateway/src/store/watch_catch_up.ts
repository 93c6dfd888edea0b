import type {
  EventLog,
  MetadataChanges,
  MetadataStore,
} from "@gooseberryline/core";
import { runSlowStep } from "../steps/run_slow_step.ts";
import { WATCH_TIMING } from "./constants.ts";
import { WATCH_ABORTS } from "./watch_aborts.ts";

type CatchUpParts = {
  /** Asks for changes by another way than the watch that waits. */
  readonly detour: Pick<MetadataStore, "watchPrefix">;
  readonly prefix: string;
  readonly log: EventLog;
  /** Returns the watch's revision; undefined until it has listed all records. */
  readonly getRevision: () => number | undefined;
  /** Returns what ends the watch that waits, if one has begun. */
  readonly getWatchAbort: () => AbortController | undefined;
  /** Returns how long no watch asks, since the last one was just answered. */
  readonly measurePauseMs: () => number;
  readonly onNews: (changes: MetadataChanges) => void;
};

/**
 * Finds out that a watch is behind what others have seen. Such a watch has a dead
 * connection, or a slow one: the change is asked for by another way, and the watch
 * is aborted once that has brought it.
 */
export class WatchCatchUp {
  readonly #parts: CatchUpParts;
  #timer: NodeJS.Timeout | undefined;
  /** Highest revision of a peer for which the store had no change. */
  #checked = 0;
  readonly #detours = new Set<AbortController>();

  constructor(parts: CatchUpParts) {
    this.#parts = parts;
  }

  /** Handles the latest revision that a peer has seen. */
  handlePeerRevision(revision: number): void {
    if (revision > this.#checked) {
      this.#expect(revision, () => revision > this.#checked);
    }
  }

  /** Asks for changes that exist by what another record says. */
  requestChanges(): void {
    this.#expect((this.#parts.getRevision() ?? 0) + 1);
  }

  dropDetours(): void {
    this.#detours.forEach((abort) => {
      abort.abort();
    });
    this.#detours.clear();
  }

  stop(): void {
    clearTimeout(this.#timer);
    this.dropDetours();
  }

  /** `isOpen` tells whether no other detour has answered meanwhile. */
  #expect(revision: number, isOpen = (): boolean => true): void {
    const { measurePauseMs } = this.#parts;
    if (!this.#isBehind(revision) || this.#timer !== undefined) {
      return;
    }
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      if (this.#isBehind(revision) && isOpen()) {
        const { log, prefix } = this.#parts;
        void runSlowStep(log, { step: "detour", key: prefix }, () =>
          this.#takeDetour(revision),
        );
      }
    }, measurePauseMs() + WATCH_TIMING.BEHIND_TIMEOUT_MS);
  }

  #isBehind(revision: number): boolean {
    const own = this.#parts.getRevision();
    return own !== undefined && revision > own;
  }

  async #takeDetour(revision: number): Promise<void> {
    const { detour, prefix, log, getRevision, getWatchAbort } = this.#parts;
    const own = getRevision() ?? 0;
    log.warn("watch-behind", { prefix, own, revision });
    const watch = getWatchAbort();
    if (watch === undefined || this.#detours.size >= WATCH_TIMING.MAX_DETOURS) {
      return;
    }
    const abort = new AbortController();
    this.#detours.add(abort);
    const changes = await detour
      .watchPrefix(prefix, own, WATCH_TIMING.DETOUR_WAIT_MS, abort.signal)
      .finally(() => this.#detours.delete(abort));
    if (abort.signal.aborted || changes.kind === "failed") {
      return;
    }
    if (changes.kind === "changes" && changes.events.length === 0) {
      this.#recordChecked(revision, changes.storeRevision);
      return;
    }
    this.#parts.onNews(changes);
    watch.abort(WATCH_ABORTS.behind);
  }

  /** A peer's revision may be that of a write which changed no record. */
  #recordChecked(revision: number, storeRevision: number): void {
    if (storeRevision >= revision) {
      this.#checked = Math.max(this.#checked, revision);
    }
  }
}
