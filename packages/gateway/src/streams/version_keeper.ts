import {
  type EventLog,
  findSoleVersion,
  type MetadataEvent,
  type MetadataStore,
  updateHistory,
  type VersionFacts,
  type VersionHistory,
} from "@gooseberryline/core";
import type { UpstreamDirectory } from "../fleet/upstream_directory.ts";
import { runSlowStep } from "../steps/run_slow_step.ts";
import { STREAM_RECORDS } from "./constants.ts";
import { historyRecord } from "./history_record.ts";

type VersionKeeperParts = {
  readonly store: MetadataStore;
  readonly directory: UpstreamDirectory;
  readonly log: EventLog;
  /** Whether the system starts for the first time: no stream began before. */
  readonly isFirstStart: boolean;
  readonly readUnixMs: () => number;
  /** Called with a service of which streams of several versions may live. */
  readonly onMixed: (service: string) => void;
};

type PlannedWrite = {
  readonly timer: NodeJS.Timeout;
  readonly isUrgent: boolean;
};

type StoredHistory = {
  readonly history: VersionHistory;
  readonly revision: number;
};

const NO_VERSIONS: ReadonlySet<string> = new Set();

/**
 * Keeps in the store which versions of a service's upstreams there were, so that
 * an instance that starts after all others have failed knows of those that left.
 */
export class VersionKeeper {
  readonly #parts: VersionKeeperParts;
  readonly #stored = new Map<string, StoredHistory>();
  readonly #planned = new Map<string, PlannedWrite>();
  /** Services whose record was removed: it was not complete from then on. */
  readonly #removed = new Set<string>();
  /** Services of which `onMixed` has been told. */
  readonly #mixed = new Set<string>();
  #isLoaded = false;
  #isStopped = false;

  constructor(parts: VersionKeeperParts) {
    this.#parts = parts;
  }

  /** Starts writing, once all records have been read. */
  start(): void {
    this.#isLoaded = true;
    this.review();
  }

  stop(): void {
    this.#isStopped = true;
    this.#planned.forEach(({ timer }) => {
      clearTimeout(timer);
    });
  }

  /** Handles a change of a service's record in the store. */
  handleEvent(service: string, event: MetadataEvent): void {
    if (event.kind === "removed") {
      this.#stored.delete(service);
      this.#removed.add(service);
    } else {
      const { value, revision } = event.item;
      const history = historyRecord.decode(value);
      if (history === undefined) {
        this.#parts.log.warn("version-history-unreadable", { service });
        return;
      }
      this.#stored.set(service, { history, revision });
    }
    this.#reviewService(service);
  }

  /** Compares the histories with the upstreams that are listed now. */
  review(): void {
    const listed = [...this.#parts.directory.listVersions().keys()];
    const services = new Set([...listed, ...this.#stored.keys()]);
    services.forEach((service) => {
      this.#reviewService(service);
    });
  }

  /**
   * Returns the version that began each stream of a service that may still live;
   * undefined if that can't be said.
   */
  findSoleVersion(service: string): string | undefined {
    return this.#isLoaded
      ? findSoleVersion(this.#getFacts(service))
      : undefined;
  }

  #getFacts(service: string): VersionFacts {
    const { directory, readUnixMs } = this.#parts;
    return {
      history: this.#stored.get(service)?.history,
      listed: directory.listVersions().get(service) ?? NO_VERSIONS,
      unixMs: readUnixMs(),
    };
  }

  #reviewService(service: string): void {
    if (!this.#isLoaded || this.#isStopped) {
      return;
    }
    this.#reportMixed(service);
    if (this.#findUpdate(service) !== undefined) {
      this.#writeLater(service);
    }
  }

  /** Plans a write: soon for a new version, later for one that is gone. */
  #writeLater(service: string): void {
    const { history, listed } = this.#getFacts(service);
    const isUrgent = [...listed].some(
      (version) => history?.versions[version] !== null,
    );
    const planned = this.#planned.get(service);
    if (planned !== undefined && (planned.isUrgent || !isUrgent)) {
      return;
    }
    clearTimeout(planned?.timer);
    const delayMs =
      (isUrgent ? 0 : STREAM_RECORDS.GONE_DELAY_MS) +
      Math.random() * STREAM_RECORDS.HISTORY_DELAY_MS;
    const timer = setTimeout(() => void this.#writeOnce(service), delayMs);
    this.#planned.set(service, { timer, isUrgent });
  }

  #reportMixed(service: string): void {
    if (this.findSoleVersion(service) !== undefined) {
      this.#mixed.delete(service);
    } else if (!this.#mixed.has(service)) {
      this.#mixed.add(service);
      this.#parts.onMixed(service);
    }
  }

  /** Returns the history as it should be; undefined if it is so. */
  #findUpdate(service: string): VersionHistory | undefined {
    const facts = this.#getFacts(service);
    const isComplete = this.#parts.isFirstStart && !this.#removed.has(service);
    const sinceMs = isComplete ? 0 : facts.unixMs;
    const updated = updateHistory(service, facts, sinceMs);
    const isKept = updated === facts.history || !historyRecord.canHold(service);
    return isKept ? undefined : updated;
  }

  async #writeOnce(service: string): Promise<void> {
    const about = { step: "version-history", key: service };
    await runSlowStep(this.#parts.log, about, () => this.#write(service));
    this.#planned.delete(service);
    // A conflict brings the other's record by the watch; a failure is retried.
    this.#reviewService(service);
  }

  async #write(service: string): Promise<void> {
    const history = this.#findUpdate(service);
    if (history === undefined) {
      return;
    }
    const key = historyRecord.buildKey(service);
    const revision = this.#stored.get(service)?.revision ?? 0;
    const written = await this.#parts.store.commit({
      expect: [{ key, revision }],
      set: [{ key, value: historyRecord.encode(history) }],
      remove: [],
    });
    if (written.kind === "committed") {
      this.#parts.log.info("version-history", {
        service,
        versions: Object.keys(history.versions).join(" "),
      });
      this.#stored.set(service, { history, revision: written.revision });
    }
  }
}
