import { addRecentEntry } from "../add_recent_entry.ts";
import { JOB_CONSTANTS } from "./constants.ts";

/** Whether results beyond a position are listed, by the owner's report. */
export type ResultAvailability = "more" | "none" | "unknown";

type ReportedCount = { readonly count: number; readonly atMs: number };

/**
 * Tracks how many results of each job are listed, as reported by its owner. A
 * reader that has them all is answered without a store call. Old reports
 * expire, since the owner may have changed.
 */
export class ResultCountFeed {
  readonly #reported = new Map<string, ReportedCount>();
  readonly #waiters = new Map<string, Set<() => void>>();
  readonly #readNowMs: () => number;

  constructor(readNowMs: () => number) {
    this.#readNowMs = readNowMs;
  }

  /** Records the counts that a peer reports of its jobs. */
  recordCounts(listed: Readonly<Record<string, number>>): void {
    const atMs = this.#readNowMs();
    Object.entries(listed).forEach(([jobId, count]) => {
      const knownCount = this.#reported.get(jobId)?.count ?? 0;
      // Results are never unlisted, so a lower count is out of date.
      if (count >= knownCount) {
        addRecentEntry(
          this.#reported,
          jobId,
          { count, atMs },
          JOB_CONSTANTS.MAX_CACHED_JOBS,
        );
      }
      if (count > knownCount) {
        this.#waiters.get(jobId)?.forEach((endWait) => {
          endWait();
        });
      }
    });
  }

  /** Waits up to `maxWaitMs` until more than `position` results are listed. */
  async wait(
    jobId: string,
    position: number,
    maxWaitMs: number,
  ): Promise<ResultAvailability> {
    const endMs = this.#readNowMs() + maxWaitMs;
    let availability = this.#getAvailability(jobId, position);
    let leftMs = maxWaitMs;
    while (availability === "none" && leftMs > 0) {
      await this.#waitForReport(
        jobId,
        Math.min(leftMs, JOB_CONSTANTS.RESULT_COUNT_MAX_AGE_MS),
      );
      availability = this.#getAvailability(jobId, position);
      leftMs = endMs - this.#readNowMs();
    }
    return availability;
  }

  #getAvailability(jobId: string, position: number): ResultAvailability {
    const report = this.#reported.get(jobId);
    if (report === undefined || report.count < position) {
      return "unknown";
    }
    if (report.count > position) {
      return "more";
    }
    const ageMs = this.#readNowMs() - report.atMs;
    return ageMs <= JOB_CONSTANTS.RESULT_COUNT_MAX_AGE_MS ? "none" : "unknown";
  }

  #waitForReport(jobId: string, waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const waiters = this.#waiters.get(jobId) ?? new Set();
      this.#waiters.set(jobId, waiters);
      const endWait = (): void => {
        clearTimeout(timer);
        waiters.delete(endWait);
        if (waiters.size === 0) {
          this.#waiters.delete(jobId);
        }
        resolve();
      };
      const timer = setTimeout(endWait, waitMs);
      waiters.add(endWait);
    });
  }
}
