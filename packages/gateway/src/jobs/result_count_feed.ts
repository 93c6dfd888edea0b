import { JOB_TIMES } from "./constants.ts";
import { putRecent } from "./put_recent.ts";

/** What owners of jobs say of the results beyond a position. */
export type ListingState = "more" | "none" | "unknown";

type Told = { readonly count: number; readonly atMs: number };

/**
 * How many results of each job its owner says are listed. A reader who has
 * them all is answered from this, without a call of the store. What was told
 * some time ago says nothing: the owner may have changed.
 */
export class ResultCountFeed {
  readonly #told = new Map<string, Told>();
  readonly #waiting = new Map<string, Set<() => void>>();
  readonly #readNowMs: () => number;

  constructor(readNowMs: () => number) {
    this.#readNowMs = readNowMs;
  }

  /** Takes what a peer says of its jobs. */
  note(listed: Readonly<Record<string, number>>): void {
    const atMs = this.#readNowMs();
    Object.entries(listed).forEach(([jobId, count]) => {
      const known = this.#told.get(jobId)?.count ?? 0;
      // Listed results stay, so a lower count is an owner's who is behind.
      if (count >= known) {
        putRecent(this.#told, jobId, { count, atMs });
      }
      if (count > known) {
        this.#waiting.get(jobId)?.forEach((wake) => {
          wake();
        });
      }
    });
  }

  /** Waits up to `holdMs` for more results than `position`. */
  async wait(
    jobId: string,
    position: number,
    holdMs: number,
  ): Promise<ListingState> {
    const endMs = this.#readNowMs() + holdMs;
    let state = this.#judge(jobId, position);
    let leftMs = holdMs;
    while (state === "none" && leftMs > 0) {
      await this.#waitNews(jobId, Math.min(leftMs, JOB_TIMES.NEWS_AGE_MS));
      state = this.#judge(jobId, position);
      leftMs = endMs - this.#readNowMs();
    }
    return state;
  }

  #judge(jobId: string, position: number): ListingState {
    const told = this.#told.get(jobId);
    if (told === undefined || told.count < position) {
      return "unknown";
    }
    if (told.count > position) {
      return "more";
    }
    const ageMs = this.#readNowMs() - told.atMs;
    return ageMs <= JOB_TIMES.NEWS_AGE_MS ? "none" : "unknown";
  }

  #waitNews(jobId: string, waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const waiting = this.#waiting.get(jobId) ?? new Set();
      this.#waiting.set(jobId, waiting);
      const wake = (): void => {
        clearTimeout(timer);
        waiting.delete(wake);
        if (waiting.size === 0) {
          this.#waiting.delete(jobId);
        }
        resolve();
      };
      const timer = setTimeout(wake, waitMs);
      waiting.add(wake);
    });
  }
}
