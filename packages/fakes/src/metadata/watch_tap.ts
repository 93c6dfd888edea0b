import type { MetadataChanges, MetadataStore } from "@gooseberryline/core";

/** A watch that waits for an answer of the store. */
type WaitingWatch = {
  readonly prefix: string;
  isSilent: boolean;
};

const SILENT = {
  kind: "failed",
  isUndone: false,
  step: "watch",
  reason: "timeout",
} as const;
/** Time after which the client of a silent watch gives up, in ms. */
const TIMEOUT_MARGIN_MS = 700;

/**
 * An instance's connection to the store whose watches can go silent: one that
 * waits hears nothing more until it times out, and others work.
 */
export class WatchTap {
  readonly store: MetadataStore;
  readonly #waiting = new Set<WaitingWatch>();
  readonly #prefixes = new Set<string>();

  constructor(store: MetadataStore) {
    this.store = {
      ...store,
      watchPrefix: (prefix, after, waitMs, signal) =>
        this.#watch(
          { prefix, isSilent: false },
          waitMs,
          store.watchPrefix(prefix, after, waitMs, signal),
          signal,
        ),
    };
  }

  /** Lists the prefixes that were watched so far. */
  listPrefixes(): readonly string[] {
    return [...this.#prefixes];
  }

  /** Whether a watch of the prefix waits now. */
  isWaiting(prefix: string): boolean {
    return [...this.#waiting].some((watch) => watch.prefix === prefix);
  }

  /**
   * Silences one of the watches of a prefix that wait now. Others may wait here for
   * peers that have no connection of their own.
   */
  silenceOne(prefix: string): void {
    const watch = [...this.#waiting].find((other) => other.prefix === prefix);
    if (watch !== undefined) {
      watch.isSilent = true;
    }
  }

  /** Silences the watches of a prefix that wait now. */
  silence(prefix: string): void {
    [...this.#waiting]
      .filter((watch) => watch.prefix === prefix)
      .forEach((watch) => {
        watch.isSilent = true;
      });
  }

  async #watch(
    watch: WaitingWatch,
    waitMs: number,
    answer: Promise<MetadataChanges>,
    signal?: AbortSignal,
  ): Promise<MetadataChanges> {
    const startedMs = performance.now();
    this.#prefixes.add(watch.prefix);
    this.#waiting.add(watch);
    const changes = await answer;
    if (watch.isSilent) {
      const leftMs = startedMs + waitMs + TIMEOUT_MARGIN_MS - performance.now();
      await waitUntilOver(leftMs, signal);
    }
    this.#waiting.delete(watch);
    return watch.isSilent ? SILENT : changes;
  }
}

function waitUntilOver(leftMs: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(resolve, leftMs);
    const stop = (): void => {
      clearTimeout(timer);
      resolve();
    };
    if (signal?.aborted === true) {
      stop();
    }
    signal?.addEventListener("abort", stop);
  });
}
