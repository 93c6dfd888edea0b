import {
  buildJobKey,
  type CustomerId,
  countOffsets,
  type InstanceState,
  type JobId,
  type JobRecord,
  type SegmentRecord,
} from "@gooseberryline/core";
import type { Platform } from "@gooseberryline/protocol";
import type { JobView } from "./types.ts";

type Counts = { readonly completed: number; readonly failed: number };

/**
 * Reads jobs from the platform's records to show them to callers and operators.
 */
export class JobDirectory {
  readonly #platform: Platform;
  readonly #readState: () => InstanceState;

  constructor(platform: Platform, readState: () => InstanceState) {
    this.#platform = platform;
    this.#readState = readState;
  }

  /**
   * Returns a customer's job. Rejects if the job is not known locally and the
   * platform is unavailable.
   */
  async find(jobId: JobId, customer: CustomerId): Promise<JobView | undefined> {
    const known = this.#readState().jobs.known[jobId]?.record;
    const record = known ?? (await this.#read(buildJobKey(customer, jobId)));
    return record?.spec.customer === customer
      ? this.describe(record)
      : undefined;
  }

  /** Lists the jobs of one customer or of all customers, newest first. */
  async list(customer?: CustomerId): Promise<readonly JobRecord[]> {
    const prefix = customer === undefined ? "jobs/" : `jobs/${customer}/`;
    const records = await this.#platform.list(prefix);
    return records
      .map(({ value }) => JSON.parse(value) as JobRecord)
      .toSorted((a, b) => b.spec.createdMs - a.spec.createdMs);
  }

  /**
   * Lists all jobs, or only the locally known ones while the platform is down.
   */
  async listViews(): Promise<readonly JobView[]> {
    const records = await this.list().catch(() =>
      Object.values(this.#readState().jobs.known).map(({ record }) => record),
    );
    return Promise.all(records.map((record) => this.describe(record)));
  }

  async describe(record: JobRecord): Promise<JobView> {
    const { spec, phase, output } = record;
    const known = this.#readState().jobs.known[spec.jobId];
    const isCancelled = known?.isCancelled === true && phase === "in_progress";
    const counts = output ?? (await this.#count(spec.jobId));
    return {
      spec,
      status: isCancelled ? "cancelling" : phase,
      completed: counts.completed,
      failed: counts.failed,
      endedMs: output?.endedMs,
    };
  }

  async #read(key: string): Promise<JobRecord | undefined> {
    const found = await this.#platform.get(key);
    return found === undefined
      ? undefined
      : (JSON.parse(found.value) as JobRecord);
  }

  /**
   * Counts results in the segment records; returns 0 while the platform is
   * down.
   */
  async #count(jobId: JobId): Promise<Counts> {
    const records = await this.#platform
      .list(`segments/${jobId}/`)
      .catch(() => []);
    const parts = records.flatMap(
      ({ value }) => (JSON.parse(value) as SegmentRecord).parts,
    );
    const failed = parts.reduce(
      (sum, part) => sum + countOffsets(part.failed),
      0,
    );
    const done = parts.reduce((sum, part) => sum + countOffsets(part.done), 0);
    return { completed: done - failed, failed };
  }
}
