import type { RunRecord } from "@gooseberryline/core";
import type { RunQuery } from "../admin/types.ts";
import { isMatchingRun } from "./is_matching_run.ts";

const MAX_RECENT_RUNS = 10_000;

/** In-memory buffer of the latest run records of this instance. */
export class RunRing {
  readonly #runs: RunRecord[] = [];

  append(run: RunRecord): void {
    this.#runs.push(run);
    if (this.#runs.length > 2 * MAX_RECENT_RUNS) {
      this.#runs.splice(0, MAX_RECENT_RUNS);
    }
  }

  /** Lists the latest records that match the query, newest first. */
  list(query: RunQuery): readonly RunRecord[] {
    return this.#runs
      .filter((run) => isMatchingRun(run, query))
      .slice(-query.limit)
      .reverse();
  }
}
