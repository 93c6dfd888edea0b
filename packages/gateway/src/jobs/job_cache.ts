import {
  type BatchJob,
  batchKeys,
  type MetadataFailure,
  type MetadataStore,
} from "@gooseberryline/core";
import { readConstant } from "../store/read_constant.ts";
import { batchRecords } from "./batch_records.ts";
import { putRecent } from "./put_recent.ts";

export type JobLookUp =
  | { readonly kind: "found"; readonly job: BatchJob }
  | { readonly kind: "none" }
  | MetadataFailure;

/** Looks up jobs; what never changes of them is held in memory. */
export class JobCache {
  readonly #store: MetadataStore;
  readonly #jobs = new Map<string, BatchJob>();

  constructor(store: MetadataStore) {
    this.#store = store;
  }

  put(job: BatchJob): void {
    putRecent(this.#jobs, job.id, job);
  }

  async find(id: string): Promise<JobLookUp> {
    const known = this.#jobs.get(id);
    if (known !== undefined) {
      return { kind: "found", job: known };
    }
    const read = await readConstant(this.#store, batchKeys.job(id));
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
    this.put(job);
    return { kind: "found", job };
  }
}
