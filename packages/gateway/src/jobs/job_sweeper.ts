import {
  BATCHES,
  type BatchJob,
  batchKeys,
  DUTIES,
  type EventLog,
  type MetadataStore,
  rankByRendezvous,
} from "@gooseberryline/core";
import type { FleetView } from "../fleet/fleet_view.ts";
import { batchRecords } from "./batch_records.ts";
import { JOB_TIMES } from "./constants.ts";

type SweeperParts = {
  readonly view: FleetView;
  readonly store: MetadataStore;
  readonly log: EventLog;
};

const DUTY = "sweep";

/** Removes the records of jobs that nobody can ask for any more. */
export class JobSweeper {
  readonly #parts: SweeperParts;
  #timer: NodeJS.Timeout | undefined;

  constructor(parts: SweeperParts) {
    this.#parts = parts;
  }

  start(): void {
    this.#timer = setInterval(() => {
      if (this.#isOnDuty()) {
        void this.sweep(Date.now());
      }
    }, JOB_TIMES.SWEEP_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Removes what is past its time at `nowMs`, Unix ms. */
  async sweep(nowMs: number, after?: string): Promise<void> {
    const { store } = this.#parts;
    const page = await store.listPage(batchKeys.jobPrefix, after);
    if (page.kind === "failed") {
      return;
    }
    const old = page.items
      .map(({ value }) => batchRecords.decodeJob(value))
      .filter((job) => job !== undefined)
      .filter((job) => nowMs > countEndMs(job));
    for (const job of old) {
      await this.#remove(job);
    }
    const last = page.items.at(-1);
    if (page.hasMore && last !== undefined) {
      await this.sweep(nowMs, last.key);
    }
  }

  /** One worker sweeps; two at once only do the same work twice. */
  #isOnDuty(): boolean {
    const { members, settings } = this.#parts.view;
    const ids = members.list(DUTIES.run).map(({ id }) => id);
    return rankByRendezvous(DUTY, ids)[0] === settings.instanceId;
  }

  /** The job's own record goes last, so that a sweep cut short is resumed. */
  async #remove(job: BatchJob): Promise<void> {
    const { store, log } = this.#parts;
    const results = job.itemIds.map((_, at) => batchKeys.result(job.id, at));
    const chunks = job.chunkStarts.map((_, at) => batchKeys.chunk(job.id, at));
    const texts = job.itemIds.map((_, at) => batchKeys.text(job.id, at));
    const others = [...texts, ...chunks, batchKeys.progress(job.id)];
    const keys = [...results, ...others];
    const size = BATCHES.MAX_COMMIT_ENTRIES;
    const groups = Array.from(
      { length: Math.ceil(keys.length / size) },
      (_, at) => keys.slice(at * size, (at + 1) * size),
    );
    for (const remove of [...groups, [batchKeys.job(job.id)]]) {
      const done = await store.commit({ expect: [], set: [], remove });
      if (done.kind !== "committed") {
        return;
      }
    }
    log.info("job-removed", { jobId: job.id });
  }
}

/** An open job may still be run until its items may be given up. */
function countEndMs(job: BatchJob): number {
  const lastMs = Math.max(job.dueMs, job.retentionMs);
  return job.submittedAtMs + lastMs + BATCHES.KEEP_MS;
}
