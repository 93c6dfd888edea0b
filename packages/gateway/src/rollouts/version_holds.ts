import { getVersion, type UpstreamEntry } from "@gooseberryline/core";
import { ROLLOUT_TIMES } from "./constants.ts";

/**
 * Holds back a version that this instance sees for the first time beside others
 * of its service: an order for it may not have arrived here yet.
 */
export class VersionHolds {
  readonly #seen = new Map<string, Set<string>>();
  readonly #heldUntilMs = new Map<string, number>();
  #isLoaded = false;

  /** Starts to hold; what was listed before was there before this instance. */
  start(): void {
    this.#isLoaded = true;
  }

  /** Records an entry; returns whether its version is held from now on. */
  recordListed(entry: UpstreamEntry, nowMs: number): boolean {
    const version = getVersion(entry);
    const seen = this.#seen.get(entry.service);
    if (seen === undefined) {
      this.#seen.set(entry.service, new Set([version]));
      return false;
    }
    if (seen.has(version)) {
      return false;
    }
    seen.add(version);
    if (!this.#isLoaded) {
      return false;
    }
    const untilMs = nowMs + ROLLOUT_TIMES.HOLD_MS;
    this.#heldUntilMs.set(buildKey(entry), untilMs);
    return true;
  }

  isHeld(entry: UpstreamEntry, nowMs: number): boolean {
    if (this.#heldUntilMs.size === 0) {
      return false;
    }
    const key = buildKey(entry);
    const untilMs = this.#heldUntilMs.get(key);
    if (untilMs !== undefined && untilMs <= nowMs) {
      this.#heldUntilMs.delete(key);
    }
    return untilMs !== undefined && untilMs > nowMs;
  }
}

function buildKey(entry: UpstreamEntry): string {
  return `${entry.service}\n${getVersion(entry)}`;
}
