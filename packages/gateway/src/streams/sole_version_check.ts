import { findSoleVersion, type MetadataStore } from "@gooseberryline/core";
import { historyRecord } from "./history_record.ts";
import type { ListedVersions } from "./types.ts";
import type { VersionKeeper } from "./version_keeper.ts";

type CheckParts = {
  readonly store: MetadataStore;
  readonly versions: Pick<VersionKeeper, "findSoleVersion">;
  /** Reads the versions that the store lists now; undefined if it fails. */
  readonly listVersions: () => Promise<ListedVersions | undefined>;
  readonly readUnixMs: () => number;
};

type Check = Promise<string | undefined>;

/**
 * Compares what this instance knows of a service's versions with the store, since
 * it may not have heard of one whose streams others have begun. Several take-ups
 * share a check that starts after all of them.
 */
export class SoleVersionCheck {
  readonly #parts: CheckParts;
  readonly #running = new Map<string, Check>();
  readonly #next = new Map<string, Check>();

  constructor(parts: CheckParts) {
    this.#parts = parts;
  }

  /**
   * Returns the version that began each stream of a service that may still live;
   * undefined if there may be several, or the store does not tell.
   */
  find(service: string): Check {
    const running = this.#running.get(service);
    if (running === undefined) {
      return this.#start(service);
    }
    const planned = this.#next.get(service);
    if (planned !== undefined) {
      return planned;
    }
    const next = running.then(() => {
      this.#next.delete(service);
      return this.#start(service);
    });
    this.#next.set(service, next);
    return next;
  }

  #start(service: string): Check {
    const check = this.#compare(service).finally(() => {
      this.#running.delete(service);
    });
    this.#running.set(service, check);
    return check;
  }

  async #compare(service: string): Check {
    const { store, versions, listVersions, readUnixMs } = this.#parts;
    const own = versions.findSoleVersion(service);
    if (own === undefined) {
      return undefined;
    }
    const [read, listed] = await Promise.all([
      store.readKey(historyRecord.buildKey(service)),
      listVersions(),
    ]);
    if (read.kind === "failed" || listed === undefined) {
      return undefined;
    }
    const history = read.item && historyRecord.decode(read.item.value);
    return findSoleVersion({
      history,
      listed: new Set([own, ...(listed.get(service) ?? [])]),
      unixMs: readUnixMs(),
    });
  }
}
