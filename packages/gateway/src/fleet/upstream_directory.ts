import type { UpstreamEntry } from "@gooseberryline/core";
import { FLEET } from "./constants.ts";

type DirectoryEntry = {
  readonly entry: UpstreamEntry;
  readonly expiresAtMs?: number;
};

/**
 * Holds the registered upstreams and lists those that may receive new work. An
 * entry removed during a store outage, or just after one, may only have lapsed
 * because its lease could not be renewed: it stays in use until the upstream
 * has had time to register again.
 */
export class UpstreamDirectory {
  readonly #held = new Map<string, DirectoryEntry>();
  readonly #evacuated = new Set<string>();
  #failingSinceMs: number | undefined;
  #storeRecoveredMs = Number.NEGATIVE_INFINITY;

  set(entry: UpstreamEntry): void {
    this.#held.set(entry.id, { entry });
  }

  find(id: string): UpstreamEntry | undefined {
    return this.#held.get(id)?.entry;
  }

  remove(id: string, nowMs: number): void {
    const known = this.#held.get(id);
    if (known === undefined) {
      return;
    }
    const graceEndMs = this.#storeRecoveredMs + FLEET.LAPSE_GRACE_MS;
    if (this.#isStoreDown(nowMs)) {
      this.#held.set(id, { ...known, expiresAtMs: Number.POSITIVE_INFINITY });
    } else if (nowMs < graceEndMs) {
      this.#held.set(id, { ...known, expiresAtMs: graceEndMs });
    } else {
      this.#held.delete(id);
    }
  }

  /** Records whether a call reached the store. */
  recordStoreContact(isReached: boolean, nowMs: number): void {
    if (!isReached) {
      this.#failingSinceMs ??= nowMs;
      return;
    }
    const isRecovered = this.#isStoreDown(nowMs);
    this.#failingSinceMs = undefined;
    if (isRecovered) {
      this.#storeRecoveredMs = nowMs;
      this.#retainLapsed(nowMs + FLEET.LAPSE_GRACE_MS);
    }
  }

  #isStoreDown(nowMs: number): boolean {
    const sinceMs = this.#failingSinceMs;
    return sinceMs !== undefined && nowMs - sinceMs >= FLEET.STORE_OUTAGE_MS;
  }

  #retainLapsed(expiresAtMs: number): void {
    [...this.#held.values()]
      .filter((known) => known.expiresAtMs !== undefined)
      .forEach(({ entry }) => {
        this.#held.set(entry.id, { entry, expiresAtMs });
      });
  }

  evacuateDataCentre(dataCentre: string): void {
    this.#evacuated.add(dataCentre);
  }

  admitDataCentre(dataCentre: string): void {
    this.#evacuated.delete(dataCentre);
  }

  /**
   * Lists the upstreams of a service that are neither draining nor in an
   * evacuated data centre.
   */
  list(service: string, nowMs: number): readonly UpstreamEntry[] {
    this.#dropExpired(nowMs);
    return [...this.#held.values()]
      .map(({ entry }) => entry)
      .filter((entry) => entry.service === service)
      .filter(({ isDraining }) => !isDraining)
      .filter(({ dataCentre }) => !this.#evacuated.has(dataCentre));
  }

  count(): number {
    return this.#held.size;
  }

  #dropExpired(nowMs: number): void {
    [...this.#held.values()]
      .filter(
        ({ expiresAtMs }) => expiresAtMs !== undefined && expiresAtMs <= nowMs,
      )
      .forEach(({ entry }) => {
        this.#held.delete(entry.id);
      });
  }
}
