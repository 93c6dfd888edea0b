import { type Candidate, countItemStarts } from "@gooseberryline/core";
import { JOB_TIMES } from "./constants.ts";

type Start = { readonly upstreamId: string; readonly atMs: number };

/** Holds back starts of items until the other workers have heard of the last. */
export class StartPace {
  readonly #workerId: string;
  #starts: readonly Start[] = [];

  constructor(workerId: string) {
    this.#workerId = workerId;
  }

  note(upstreamId: string, nowMs: number): void {
    this.#starts = [...this.#starts, { upstreamId, atMs: nowMs }];
  }

  /** Candidates at which this worker has part of the free slots left. */
  filter(
    candidates: readonly Candidate[],
    busyWorkers: readonly string[],
    nowMs: number,
  ): readonly Candidate[] {
    this.#starts = this.#starts.filter(
      ({ atMs }) => nowMs - atMs < JOB_TIMES.START_WINDOW_MS,
    );
    const round = Math.floor(Date.now() / JOB_TIMES.START_WINDOW_MS);
    return candidates.filter(({ entry, open, ...rest }) => {
      const taken = this.#starts.filter(
        ({ upstreamId }) => upstreamId === entry.id,
      ).length;
      // The part is of what was free before these starts.
      const before = { ...open, batch: Math.max(0, open.batch - taken) };
      const candidate = { ...rest, entry, open: before };
      const ids = busyWorkers;
      return taken < countItemStarts(candidate, this.#workerId, ids, round);
    });
  }
}
