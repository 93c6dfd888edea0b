import type { RunRecord } from "@gooseberryline/core";
import type { RunQuery } from "../admin/types.ts";
import { isFitting } from "./is_fitting.ts";

const KEPT_RUNS = 10_000;

/** Keeps the latest run records of this instance in memory. */
export class RunRing {
  readonly #runs: RunRecord[] = [];

  keep(run: RunRecord): void {
    this.#runs.push(run);
    if (this.#runs.length > 2 * KEPT_RUNS) {
      this.#runs.splice(0, KEPT_RUNS);
    }
  }

  /** The latest records that fit the query, newest first. */
  list(query: RunQuery): readonly RunRecord[] {
    return this.#runs
      .filter((run) => isFitting(run, query))
      .slice(-query.limit)
      .reverse();
  }
}
