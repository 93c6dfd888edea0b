import {
  BATCHES,
  type BatchClaim,
  type BatchItem,
  type BatchJob,
  type BatchResult,
  type BatchText,
  batchKeys,
  type EventLog,
  type MetadataCommit,
  type MetadataItem,
  type MetadataStore,
} from "@gooseberryline/core";
import { waitMs } from "../wait_ms.ts";
import { batchRecords } from "./batch_records.ts";
import { JOB_TIMES } from "./constants.ts";

type OwnedParts = {
  readonly store: MetadataStore;
  readonly log: EventLog;
  /** Milliseconds of a steady clock. */
  readonly readNowMs: () => number;
  /** Tells this process's writes from those of others. */
  readonly writerName: string;
  readonly onLost: () => void;
};

/** Entries of a commit beside those of results: claim, progress, both twice. */
const OWN_ENTRIES = 4;
/** A result's record, and the removal of the text that it replaces. */
const RESULT_ENTRIES = 2;
const MAX_RESULTS = Math.floor(
  (BATCHES.MAX_COMMIT_ENTRIES - OWN_ENTRIES) / RESULT_ENTRIES,
);

type Finished = { readonly index: number; readonly result: BatchResult };

/** A job as it stood when this instance claimed it. */
export type LoadedJob = {
  readonly job: BatchJob;
  readonly items: readonly BatchItem[];
  readonly claim: BatchClaim;
  readonly claimRevision: number;
  readonly listed: readonly number[];
  /** What an earlier owner saved of items under way, by index. */
  readonly texts: ReadonlyMap<number, BatchText>;
  readonly progressRevision: number;
};

/**
 * Lists the results of a job that this instance owns. A write holds only
 * while the claim is the one that was taken, so a late owner lists nothing;
 * results that finish during a write go into the next one together.
 */
export class OwnedJob {
  readonly loaded: LoadedJob;
  readonly #parts: OwnedParts;
  #listed: readonly number[];
  #progressRevision: number;
  /** Items whose text may stand in the store. */
  readonly #saved: Set<number>;
  #finished: Finished[] = [];
  #isWriting = false;
  /** Start of the write that is not answered yet. */
  #writtenMs: number | undefined;
  #writes = 0;
  #isOver = false;

  constructor(loaded: LoadedJob, parts: OwnedParts) {
    this.loaded = loaded;
    this.#parts = parts;
    this.#listed = loaded.listed;
    this.#saved = new Set(loaded.texts.keys());
    this.#progressRevision = loaded.progressRevision;
  }

  /** Whether every result is listed, or the job is no longer this one's. */
  get isOver(): boolean {
    return this.#isOver;
  }

  /**
   * How many results are listed, for peers to answer their callers by. Not
   * known while a write waits long for its answer, nor once the job is
   * another's or ended: callers may have read more by then.
   */
  countListed(): number | undefined {
    const count = this.#listed.length;
    if (count >= this.loaded.job.itemIds.length) {
      return count;
    }
    const { readNowMs } = this.#parts;
    const waitedMs = readNowMs() - (this.#writtenMs ?? readNowMs());
    return this.#isOver || waitedMs > JOB_TIMES.DOUBT_MS ? undefined : count;
  }

  /** Ends without a word; nothing more is written. */
  abandon(): void {
    this.#isOver = true;
  }

  /** Notes that an item's text is about to be saved. */
  noteSave(index: number): void {
    this.#saved.add(index);
  }

  addResult(index: number, result: BatchResult): void {
    this.#finished.push({ index, result });
    void this.#write();
  }

  async #write(): Promise<void> {
    if (this.#isWriting || this.#isOver || this.#finished.length === 0) {
      return;
    }
    this.#isWriting = true;
    this.#writtenMs = this.#parts.readNowMs();
    const batch = this.#finished.slice(0, MAX_RESULTS);
    this.#finished = this.#finished.slice(MAX_RESULTS);
    await this.#writeUntilKnown(batch);
    this.#isWriting = false;
    this.#writtenMs = undefined;
    await this.#write();
  }

  async #writeUntilKnown(batch: readonly Finished[]): Promise<void> {
    const { store, log } = this.#parts;
    const { job } = this.loaded;
    this.#writes += 1;
    const writer = `${this.#parts.writerName}/${this.#writes}`;
    const listed = [...this.#listed, ...batch.map(({ index }) => index)];
    const commit = this.#buildCommit(batch, listed, writer);
    while (!this.#isOver) {
      const done = await store.commit(commit);
      if (done.kind === "committed") {
        this.#noteListed(listed, done.revision);
        return;
      }
      if (done.kind === "conflict") {
        this.#settleConflict(done.items, listed, writer);
        return;
      }
      const reason = done.kind === "failed" ? done.reason : done.kind;
      log.warn("results-not-written", { jobId: job.id, reason });
      await waitMs(JOB_TIMES.WRITE_RETRY_MS);
    }
  }

  #buildCommit(
    batch: readonly Finished[],
    listed: readonly number[],
    writer: string,
  ): MetadataCommit {
    const { job, claimRevision } = this.loaded;
    const claimKey = batchKeys.claim(job.id);
    const progressKey = batchKeys.progress(job.id);
    const first = this.#listed.length;
    const isLast = listed.length >= job.itemIds.length;
    return {
      expect: [
        { key: claimKey, revision: claimRevision },
        { key: progressKey, revision: this.#progressRevision },
      ],
      set: [
        { key: progressKey, value: batchRecords.encode({ listed, writer }) },
        ...batch.map(({ result }, offset) => ({
          key: batchKeys.result(job.id, first + offset),
          value: batchRecords.encode(result),
        })),
      ],
      remove: [
        ...batch
          .filter(({ index }) => this.#saved.has(index))
          .map(({ index }) => batchKeys.text(job.id, index)),
        ...(isLast ? [claimKey] : []),
      ],
    };
  }

  #noteListed(listed: readonly number[], revision: number): void {
    const { job } = this.loaded;
    this.#listed = listed;
    this.#progressRevision = revision;
    this.#isOver = this.#isOver || listed.length >= job.itemIds.length;
    this.#parts.log.info("results-listed", {
      jobId: job.id,
      listed: listed.length,
      total: job.itemIds.length,
    });
  }

  /** A write whose answer was lost shows by its own name in the record. */
  #settleConflict(
    items: readonly MetadataItem[],
    listed: readonly number[],
    writer: string,
  ): void {
    const { job } = this.loaded;
    const key = batchKeys.progress(job.id);
    const record = items.find((item) => item.key === key);
    const progress =
      record === undefined
        ? undefined
        : batchRecords.decodeProgress(record.value);
    if (record !== undefined && progress?.writer === writer) {
      this.#noteListed(listed, record.revision);
      return;
    }
    this.#isOver = true;
    this.#parts.log.warn("job-lost-to-another", { jobId: job.id });
    this.#parts.onLost();
  }
}
