import type { UpstreamEntry } from "@gooseberryline/core";
import { FLEET } from "./constants.ts";

type Held = { readonly entry: UpstreamEntry; readonly goneAtMs?: number };

/**
 * Upstreams as they registered, less those of data centres taken out. An
 * entry that vanishes while the store is away, or just after, may only have
 * lapsed: it stays in use until the upstream had time to register again.
 */
export class UpstreamDirectory {
  readonly #held = new Map<string, Held>();
  readonly #takenOut = new Set<string>();
  #failingSinceMs: number | undefined;
  #storeBackMs = Number.NEGATIVE_INFINITY;

  put(entry: UpstreamEntry): void {
    this.#held.set(entry.id, { entry });
  }

  remove(id: string, nowMs: number): void {
    const held = this.#held.get(id);
    if (held === undefined) {
      return;
    }
    const graceEndMs = this.#storeBackMs + FLEET.LAPSE_GRACE_MS;
    if (this.#isStoreAway(nowMs)) {
      this.#held.set(id, { ...held, goneAtMs: Number.POSITIVE_INFINITY });
    } else if (nowMs < graceEndMs) {
      this.#held.set(id, { ...held, goneAtMs: graceEndMs });
    } else {
      this.#held.delete(id);
    }
  }

  /** Notes an answer of the store, or a call that had none. */
  noteStore(isReached: boolean, nowMs: number): void {
    if (!isReached) {
      this.#failingSinceMs ??= nowMs;
      return;
    }
    const isBack = this.#isStoreAway(nowMs);
    this.#failingSinceMs = undefined;
    if (isBack) {
      this.#storeBackMs = nowMs;
      this.#giveLapsedTime(nowMs + FLEET.LAPSE_GRACE_MS);
    }
  }

  #isStoreAway(nowMs: number): boolean {
    const sinceMs = this.#failingSinceMs;
    return sinceMs !== undefined && nowMs - sinceMs >= FLEET.STORE_AWAY_MS;
  }

  #giveLapsedTime(goneAtMs: number): void {
    [...this.#held.values()]
      .filter((held) => held.goneAtMs !== undefined)
      .forEach(({ entry }) => {
        this.#held.set(entry.id, { entry, goneAtMs });
      });
  }

  takeOut(dataCentre: string): void {
    this.#takenOut.add(dataCentre);
  }

  bringBack(dataCentre: string): void {
    this.#takenOut.delete(dataCentre);
  }

  /** Upstreams of a service that may get new work. */
  list(service: string, nowMs: number): readonly UpstreamEntry[] {
    this.#dropGone(nowMs);
    return [...this.#held.values()]
      .map(({ entry }) => entry)
      .filter((entry) => entry.service === service)
      .filter(({ isDraining }) => !isDraining)
      .filter(({ dataCentre }) => !this.#takenOut.has(dataCentre));
  }

  count(): number {
    return this.#held.size;
  }

  #dropGone(nowMs: number): void {
    [...this.#held.values()]
      .filter(({ goneAtMs }) => goneAtMs !== undefined && goneAtMs <= nowMs)
      .forEach(({ entry }) => {
        this.#held.delete(entry.id);
      });
  }
}
