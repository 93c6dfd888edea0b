import type { Candidate } from "@gooseberryline/core";
import { JOB_TIMES } from "./constants.ts";

type Start = { readonly upstreamId: string; readonly atMs: number };

/**
 * Holds back starts of items until peers have heard of the last ones: all
 * workers see the same free slots, so each takes its part of them.
 */
export class StartPace {
  #starts: readonly Start[] = [];

  note(upstreamId: string, nowMs: number): void {
    this.#starts = [...this.#starts, { upstreamId, atMs: nowMs }];
  }

  /** Candidates at which this worker has part of the free slots left. */
  filter(
    candidates: readonly Candidate[],
    workers: number,
    nowMs: number,
  ): readonly Candidate[] {
    this.#starts = this.#starts.filter(
      ({ atMs }) => nowMs - atMs < JOB_TIMES.START_WINDOW_MS,
    );
    return candidates.filter(({ entry, open }) => {
      const taken = this.#starts.filter(
        ({ upstreamId }) => upstreamId === entry.id,
      ).length;
      const free = entry.slots - open.online - open.batch + taken;
      return taken < Math.max(1, Math.floor(free / Math.max(1, workers)));
    });
  }
}
