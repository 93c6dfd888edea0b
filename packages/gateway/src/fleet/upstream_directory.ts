import type { UpstreamEntry } from "@gooseberryline/core";
import { FLEET } from "./constants.ts";

type DirectoryEntry = {
  readonly entry: UpstreamEntry;
  readonly expiresAtMs?: number;
};

/**
 * Upstreams as they registered, less those of data centres taken out. An
 * entry that vanishes while the store is away, or just after, may only have
 * lapsed: it stays in use until the upstream had time to register again.
 */
export class UpstreamDirectory {
  readonly #held = new Map<string, DirectoryEntry>();
  readonly #evacuated = new Set<string>();
  #failingSinceMs: number | undefined;
  #storeRecoveredMs = Number.NEGATIVE_INFINITY;

  put(entry: UpstreamEntry): void {
    this.#held.set(entry.id, { entry });
  }

  remove(id: string, nowMs: number): void {
    const held = this.#held.get(id);
    if (held === undefined) {
      return;
    }
    const graceEndMs = this.#storeRecoveredMs + FLEET.LAPSE_GRACE_MS;
    if (this.#isStoreDown(nowMs)) {
      this.#held.set(id, { ...held, expiresAtMs: Number.POSITIVE_INFINITY });
    } else if (nowMs < graceEndMs) {
      this.#held.set(id, { ...held, expiresAtMs: graceEndMs });
    } else {
      this.#held.delete(id);
    }
  }

  /** Notes an answer of the store, or a call that had none. */
  recordStoreContact(isReached: boolean, nowMs: number): void {
    if (!isReached) {
      this.#failingSinceMs ??= nowMs;
      return;
    }
    const isBack = this.#isStoreDown(nowMs);
    this.#failingSinceMs = undefined;
    if (isBack) {
      this.#storeRecoveredMs = nowMs;
      this.#retainLapsed(nowMs + FLEET.LAPSE_GRACE_MS);
    }
  }

  #isStoreDown(nowMs: number): boolean {
    const sinceMs = this.#failingSinceMs;
    return sinceMs !== undefined && nowMs - sinceMs >= FLEET.STORE_OUTAGE_MS;
  }

  #retainLapsed(goneAtMs: number): void {
    [...this.#held.values()]
      .filter((held) => held.expiresAtMs !== undefined)
      .forEach(({ entry }) => {
        this.#held.set(entry.id, { entry, expiresAtMs: goneAtMs });
      });
  }

  evacuateDataCentre(dataCentre: string): void {
    this.#evacuated.add(dataCentre);
  }

  admitDataCentre(dataCentre: string): void {
    this.#evacuated.delete(dataCentre);
  }

  /** Upstreams of a service that may get new work. */
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
        ({ expiresAtMs: goneAtMs }) =>
          goneAtMs !== undefined && goneAtMs <= nowMs,
      )
      .forEach(({ entry }) => {
        this.#held.delete(entry.id);
      });
  }
}
