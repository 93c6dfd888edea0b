import type { RunRecord } from "@gooseberryline/core";
import type { RunQuery } from "../admin/types.ts";
import type { Log } from "../logs/create_log.ts";
import { mergeRuns } from "./merge_runs.ts";
import type { RunFiles } from "./run_files.ts";
import { RunRing } from "./run_ring.ts";

const FLUSH_MS = 1_000;
const MAX_WAITING = 10_000;
const MAX_BATCH = 1_000;

/** What the task needs of the rest of the daemon. */
export type RunTaskParts = {
  /** Absent at an instance without a disk. */
  readonly files: RunFiles | undefined;
  /** Hands records to a peer with a disk; rejects where none took them. */
  readonly sendToPeer: (runs: readonly RunRecord[]) => Promise<void>;
  readonly log: Log;
};

/**
 * Keeps run records: the latest in memory, all of them in the data folder. An
 * instance without a disk hands them to a peer that has one, in batches; the
 * oldest are dropped and counted when no peer takes them for long.
 */
export class RunTask {
  readonly #parts: RunTaskParts;
  readonly #ring = new RunRing();
  readonly #timer: NodeJS.Timeout;
  #waiting: RunRecord[] = [];
  #flushing: Promise<void> = Promise.resolve();
  #dropped = 0;

  constructor(parts: RunTaskParts) {
    this.#parts = parts;
    this.#timer = setInterval(() => void this.flush(), FLUSH_MS);
    this.#timer.unref();
  }

  /** Records that were dropped because nobody could keep them. */
  get dropped(): number {
    return this.#dropped;
  }

  keep(run: RunRecord): void {
    this.#ring.keep(run);
    this.#waiting.push(run);
    const excess = this.#waiting.length - MAX_WAITING;
    if (excess > 0) {
      this.#waiting.splice(0, excess);
      this.#dropped += excess;
    }
  }

  /** Keeps what a peer without a disk hands over; rejects without a disk. */
  async keepForPeer(runs: readonly RunRecord[]): Promise<void> {
    const { files } = this.#parts;
    if (files === undefined) {
      throw new Error("this instance has no disk");
    }
    await files.append(runs);
  }

  /** The latest records that fit the query, newest first. */
  async list(query: RunQuery): Promise<readonly RunRecord[]> {
    const recent = this.#ring.list(query);
    const kept = (await this.#parts.files?.list(query)) ?? [];
    return mergeRuns([...recent, ...kept], query.limit);
  }

  /** Writes or hands over what waits; resolves when that was tried. */
  flush(): Promise<void> {
    this.#flushing = this.#flushing.then(() => this.#flushAll());
    return this.#flushing;
  }

  async stop(): Promise<void> {
    clearInterval(this.#timer);
    await this.flush();
  }

  async #flushAll(): Promise<void> {
    const batch = this.#waiting.slice(0, MAX_BATCH);
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
    this.#waiting = this.#waiting.filter((run) => !sent.has(run));
    await this.#flushAll();
  }
}
