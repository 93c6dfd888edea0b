import { CRASHES } from "@gooseberryline/core";
import { addRecentEntry } from "../add_recent_entry.ts";

/**
 * When an answer last began on a prompt part, or a request was answered whole,
 * here or at a peer. Times are monotonic, in ms.
 */
export class SoundAnswers {
  readonly #lastMs = new Map<string, number>();

  /** Records that a part or request was sound at a time. */
  record(key: string, atMs: number): void {
    if (atMs > this.getLastMs(key)) {
      addRecentEntry(this.#lastMs, key, atMs, CRASHES.MAX_SOUND_KEYS);
    }
  }

  getLastMs(key: string): number {
    return this.#lastMs.get(key) ?? Number.NEGATIVE_INFINITY;
  }

  /** Lists the ages of recent sound answers of these keys, in ms. */
  listAges(
    keys: readonly string[],
    nowMs: number,
  ): Readonly<Record<string, number>> {
    const ages = [...new Set(keys)]
      .map((key) => [key, Math.round(nowMs - this.getLastMs(key))] as const)
      .filter(([, ageMs]) => ageMs <= CRASHES.REPORT_MS);
    return Object.fromEntries(ages);
  }
}
