import {
  BATCHES,
  type BatchJob,
  backlogKeys,
  batchKeys,
  DUTIES,
  type EventLog,
  type MetadataStore,
  rankByRendezvous,
} from "@gooseberryline/core";
import type { FleetView } from "../fleet/fleet_view.ts";
import { runSlowStep } from "../steps/run_slow_step.ts";
import { batchRecords } from "./batch_records.ts";
import { JOB_CONSTANTS } from "./constants.ts";

type SweeperParts = {
  readonly view: FleetView;
  readonly store: MetadataStore;
  readonly log: EventLog;
};

const SWEEPER_ROLE = "sweep";

/** Removes the records of expired jobs, which callers can no longer read. */
export class JobSweeper {
  readonly #parts: SweeperParts;
  #timer: NodeJS.Timeout | undefined;

  constructor(parts: SweeperParts) {
    this.#parts = parts;
  }

  start(): void {
    this.#timer = setInterval(() => {
      if (this.#isSweeper()) {
        void runSlowStep(this.#parts.log, { step: "sweep-jobs" }, () =>
          this.sweep(Date.now()),
        );
      }
    }, JOB_CONSTANTS.SWEEP_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Removes the jobs that are expired at `nowMs`, in Unix ms. */
  async sweep(nowMs: number, after?: string): Promise<void> {
    const { store } = this.#parts;
    const page = await store.listPage(batchKeys.jobPrefix, after);
    if (page.kind === "failed") {
      return;
    }
    const expired = page.items
      .map(({ value }) => batchRecords.decodeJob(value))
      .filter((job) => job !== undefined)
      .filter((job) => nowMs > computeExpiryMs(job));
    for (const job of expired) {
      await this.#remove(job);
    }
    const last = page.items.at(-1);
    if (page.hasMore && last !== undefined) {
      await this.sweep(nowMs, last.key);
    }
  }

  /**
   * Returns whether this worker is the one that sweeps. Two at once are
   * harmless, since they only repeat the same removals.
   */
  #isSweeper(): boolean {
    const { members, settings } = this.#parts.view;
    const ids = members.list(DUTIES.run).map(({ id }) => id);
    return rankByRendezvous(SWEEPER_ROLE, ids)[0] === settings.instanceId;
  }

  /** Removes the job record last, so that an interrupted sweep is resumed. */
  async #remove(job: BatchJob): Promise<void> {
    const { store, log } = this.#parts;
    const results = job.itemIds.map((_, index) =>
      batchKeys.result(job.id, index),
    );
    const chunks = job.chunkStarts.map((_, index) =>
      batchKeys.chunk(job.id, index),
    );
    const texts = job.itemIds.map((_, index) => batchKeys.text(job.id, index));
    const otherKeys = [
      ...texts,
      ...chunks,
      batchKeys.progress(job.id),
      backlogKeys.openJob(job, job.id),
    ];
    // Without its claim, the owner of a job that is still open drops it.
    const keys = [batchKeys.claim(job.id), ...results, ...otherKeys];
    const size = BATCHES.MAX_COMMIT_ENTRIES;
    const groups = Array.from(
      { length: Math.ceil(keys.length / size) },
      (_, index) => keys.slice(index * size, (index + 1) * size),
    );
    for (const remove of [...groups, [batchKeys.job(job.id)]]) {
      const outcome = await store.commit({ expect: [], set: [], remove });
      if (outcome.kind !== "committed") {
        return;
      }
    }
    log.info("job-removed", { jobId: job.id });
  }
}

/**
 * Returns when a job expires, in Unix ms: an unfinished job may still run until
 * its due time.
 */
function computeExpiryMs(job: BatchJob): number {
  const lastMs = Math.max(job.dueMs, job.retentionMs);
  return job.submittedAtMs + lastMs + BATCHES.FINISHED_JOB_RETENTION_MS;
}
