import type { RunRecord } from "@gooseberryline/core";
import type { RunQuery } from "../admin/types.ts";
import type { Log } from "../logs/create_log.ts";
import { mergeRuns } from "./merge_runs.ts";
import type { RunFiles } from "./run_files.ts";
import { RunRing } from "./run_ring.ts";

const FLUSH_INTERVAL_MS = 1_000;
const MAX_PENDING_RUNS = 10_000;
const MAX_BATCH = 1_000;

/** Dependencies of the task. */
export type RunTaskParts = {
  /** Undefined on an instance without a disk. */
  readonly files: RunFiles | undefined;
  /** Sends records to a peer with a disk; rejects if no peer accepted them. */
  readonly sendToPeer: (runs: readonly RunRecord[]) => Promise<void>;
  readonly log: Log;
};

/**
 * Stores run records: the latest in memory, all of them in the data folder. An
 * instance without a disk sends them in batches to a peer with a disk. Records
 * that can't be stored stay queued; if the queue is full, the oldest are
 * dropped and counted.
 */
export class RunTask {
  readonly #parts: RunTaskParts;
  readonly #ring = new RunRing();
  readonly #timer: NodeJS.Timeout;
  #pending: RunRecord[] = [];
  #flushing: Promise<void> = Promise.resolve();
  #dropped = 0;

  constructor(parts: RunTaskParts) {
    this.#parts = parts;
    this.#timer = setInterval(() => void this.flush(), FLUSH_INTERVAL_MS);
    this.#timer.unref();
  }

  /** Number of records dropped because they could not be stored. */
  get dropped(): number {
    return this.#dropped;
  }

  record(run: RunRecord): void {
    this.#ring.append(run);
    this.#pending.push(run);
    const excess = this.#pending.length - MAX_PENDING_RUNS;
    if (excess > 0) {
      this.#pending.splice(0, excess);
      this.#dropped += excess;
    }
  }

  /**
   * Stores records from a peer without a disk; rejects if there is no disk
   * here.
   */
  async storeForPeer(runs: readonly RunRecord[]): Promise<void> {
    const { files } = this.#parts;
    if (files === undefined) {
      throw new Error("this instance has no disk");
    }
    await files.append(runs);
  }

  /** Lists the latest records that match the query, newest first. */
  async list(query: RunQuery): Promise<readonly RunRecord[]> {
    const recent = this.#ring.list(query);
    const storedRuns = (await this.#parts.files?.list(query)) ?? [];
    return mergeRuns([...recent, ...storedRuns], query.limit);
  }

  /** Writes or sends the pending records; resolves after the attempt. */
  flush(): Promise<void> {
    this.#flushing = this.#flushing.then(() => this.#flushAll());
    return this.#flushing;
  }

  async stop(): Promise<void> {
    clearInterval(this.#timer);
    await this.flush();
  }

  async #flushAll(): Promise<void> {
    const batch = this.#pending.slice(0, MAX_BATCH);
    if (batch.length === 0) {
      return;
    }
    const { files, sendToPeer, log } = this.#parts;
    try {
      await (files === undefined ? sendToPeer(batch) : files.append(batch));
    } catch (error) {
      const message = String(error);
      const step = files === undefined ? "send" : "store";
      log.warn("runs-not-kept", { step, count: batch.length, message });
      return;
    }
    const sent = new Set(batch);
    this.#pending = this.#pending.filter((run) => !sent.has(run));
    await this.#flushAll();
  }
}
