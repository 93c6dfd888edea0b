import {
  type BatchJob,
  batchKeys,
  type MetadataFailure,
  type MetadataStore,
} from "@gooseberryline/core";
import { addRecentEntry } from "../add_recent_entry.ts";
import { readImmutable } from "../store/read_immutable.ts";
import { batchRecords } from "./batch_records.ts";
import { JOB_CONSTANTS } from "./constants.ts";

export type JobLookup =
  | { readonly kind: "found"; readonly job: BatchJob }
  | { readonly kind: "none" }
  | MetadataFailure;

/** Looks up jobs and caches their immutable records in memory. */
export class JobCache {
  readonly #store: MetadataStore;
  readonly #jobs = new Map<string, BatchJob>();

  constructor(store: MetadataStore) {
    this.#store = store;
  }

  add(job: BatchJob): void {
    addRecentEntry(this.#jobs, job.id, job, JOB_CONSTANTS.MAX_CACHED_JOBS);
  }

  async find(id: string): Promise<JobLookup> {
    const cached = this.#jobs.get(id);
    if (cached !== undefined) {
      return { kind: "found", job: cached };
    }
    const read = await readImmutable(this.#store, batchKeys.job(id));
    if (read.kind === "failed") {
      return read;
    }
    const job =
      read.item === undefined
        ? undefined
        : batchRecords.decodeJob(read.item.value);
    if (job === undefined) {
      return { kind: "none" };
    }
    this.add(job);
    return { kind: "found", job };
  }
}
