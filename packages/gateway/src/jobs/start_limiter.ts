import {
  type Candidate,
  countHeadroom,
  countItemsToStart,
} from "@gooseberryline/core";
import { JOB_CONSTANTS } from "./constants.ts";

type Start = { readonly upstreamId: string; readonly atMs: number };

/**
 * Limits item starts per upstream until the other workers have heard of the
 * latest ones.
 */
export class StartLimiter {
  readonly #workerId: string;
  #starts: readonly Start[] = [];

  constructor(workerId: string) {
    this.#workerId = workerId;
  }

  recordStart(upstreamId: string, nowMs: number): void {
    this.#starts = [...this.#starts, { upstreamId, atMs: nowMs }];
  }

  /**
   * Returns the candidates at which this worker's share of slots is not used
   * up; one for an item that can wait leaves online requests their headroom.
   */
  listStartable(
    candidates: readonly Candidate[],
    busyWorkers: readonly string[],
    canWait: boolean,
    nowMs: number,
  ): readonly Candidate[] {
    this.#starts = this.#starts.filter(
      ({ atMs }) => nowMs - atMs < JOB_CONSTANTS.START_WINDOW_MS,
    );
    const round = Math.floor(Date.now() / JOB_CONSTANTS.START_WINDOW_MS);
    return candidates.filter(({ entry, open, ...rest }) => {
      const started = this.#starts.filter(
        ({ upstreamId }) => upstreamId === entry.id,
      ).length;
      // The share is that of the slots that were free before these starts.
      const openBefore = { ...open, batch: Math.max(0, open.batch - started) };
      const candidate = { ...rest, entry, open: openBefore };
      const headroom = canWait ? countHeadroom(candidate) : 0;
      const limit = countItemsToStart(
        candidate,
        headroom,
        this.#workerId,
        busyWorkers,
        round,
      );
      return started < limit;
    });
  }
}
