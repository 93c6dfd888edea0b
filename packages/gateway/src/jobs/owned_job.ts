import {
  BATCHES,
  type BatchClaim,
  type BatchItem,
  type BatchJob,
  type BatchResult,
  backlogKeys,
  batchKeys,
  computeResultHoldMs,
  type EventLog,
  type MetadataCommit,
  type MetadataFailure,
  type MetadataItem,
  type MetadataStore,
  type PartialItemText,
} from "@gooseberryline/core";
import { runSlowStep } from "../steps/run_slow_step.ts";
import { waitMs } from "../wait_ms.ts";
import { batchRecords } from "./batch_records.ts";
import { JOB_CONSTANTS } from "./constants.ts";
import { countTokens } from "./count_tokens.ts";

type OwnedJobParts = {
  readonly store: MetadataStore;
  readonly log: EventLog;
  /** Returns the time of the monotonic clock, in ms. */
  readonly readNowMs: () => number;
  /** Distinguishes the writes of this load of the job from all others. */
  readonly writerName: string;
  readonly onLost: () => void;
};

/**
 * Commit entries besides results: claim and progress, each once as a
 * precondition and once as a change, and the job's backlog.
 */
const BASE_ENTRIES = 5;
/** Per result: its record, and the removal of the saved text it replaces. */
const RESULT_ENTRIES = 2;
const MAX_RESULTS = Math.floor(
  (BATCHES.MAX_COMMIT_ENTRIES - BASE_ENTRIES) / RESULT_ENTRIES,
);

/** A write that an exception ended may have taken effect. */
const NO_OUTCOME: MetadataFailure = {
  kind: "failed",
  isUndone: false,
  step: "commit",
  reason: "a fault of the program",
};

type FinishedItem = { readonly index: number; readonly result: BatchResult };

/** A snapshot of a job, taken when this instance claimed it. */
export type LoadedJob = {
  readonly job: BatchJob;
  /** By index; without those that this version can't read. */
  readonly items: ReadonlyMap<number, BatchItem>;
  readonly claim: BatchClaim;
  readonly claimRevision: number;
  readonly listed: readonly number[];
  /** Partial outputs saved by an earlier owner, by item index. */
  readonly texts: ReadonlyMap<number, PartialItemText>;
  readonly progressRevision: number;
};

/**
 * Lists the results of a job that this instance owns. Writes are conditional on
 * the claim's revision, so a former owner lists nothing. Results that finish
 * during a write are batched into the next one.
 */
export class OwnedJob {
  readonly loaded: LoadedJob;
  readonly #parts: OwnedJobParts;
  #listed: readonly number[];
  #progressRevision: number;
  /** Indexes of items whose partial text may be in the store. */
  readonly #savedTexts: Set<number>;
  #finished: FinishedItem[] = [];
  #isWriting = false;
  /** When the write in flight started, on the monotonic clock. */
  #writeStartedMs: number | undefined;
  #writes = 0;
  #isEnded = false;
  /** Runs while finished results wait for others. */
  #holdTimer: NodeJS.Timeout | undefined;

  constructor(loaded: LoadedJob, parts: OwnedJobParts) {
    this.loaded = loaded;
    this.#parts = parts;
    this.#listed = loaded.listed;
    this.#savedTexts = new Set(loaded.texts.keys());
    this.#progressRevision = loaded.progressRevision;
  }

  /** Whether all results are listed, or the job was abandoned or lost. */
  get isEnded(): boolean {
    return this.#isEnded;
  }

  /**
   * Returns how many results are listed, so that peers can answer callers.
   * Returns undefined if a write has been unanswered for longer than
   * `UNCERTAIN_WRITE_MS`, or if the job ended before all results were listed:
   * by then callers may have read more.
   */
  countListed(): number | undefined {
    const count = this.#listed.length;
    if (count >= this.loaded.job.itemIds.length) {
      return count;
    }
    const { readNowMs } = this.#parts;
    const waitedMs = readNowMs() - (this.#writeStartedMs ?? readNowMs());
    return this.#isEnded || waitedMs > JOB_CONSTANTS.UNCERTAIN_WRITE_MS
      ? undefined
      : count;
  }

  /** Stops the work on the job; no further write is started. */
  abandon(): void {
    this.#isEnded = true;
    clearTimeout(this.#holdTimer);
  }

  /** Lists what is finished, before the job is handed over. */
  async persistFinished(): Promise<void> {
    await this.#endHold();
    if (this.#isWriting || (this.#finished.length > 0 && !this.#isEnded)) {
      await waitMs(JOB_CONSTANTS.WRITE_CHECK_MS);
      await this.persistFinished();
    }
  }

  /** Records that an item's partial text is about to be saved. */
  recordSavedText(index: number): void {
    this.#savedTexts.add(index);
  }

  addResult(index: number, result: BatchResult): void {
    this.#finished.push({ index, result });
    this.#writeSoon();
  }

  /** Writes once others of the job have had time to finish as well. */
  #writeSoon(): void {
    const { job } = this.loaded;
    const holdMs = computeResultHoldMs({
      finished: this.#finished.length,
      open: job.itemIds.length - this.#listed.length,
      maxInCommit: MAX_RESULTS,
      dueInMs: job.submittedAtMs + job.dueMs - Date.now(),
    });
    if (holdMs === 0) {
      void this.#endHold();
    } else {
      this.#holdTimer ??= setTimeout(() => void this.#endHold(), holdMs);
    }
  }

  #endHold(): Promise<void> {
    clearTimeout(this.#holdTimer);
    this.#holdTimer = undefined;
    return this.#write();
  }

  async #write(): Promise<void> {
    if (this.#isWriting || this.#isEnded || this.#finished.length === 0) {
      return;
    }
    this.#isWriting = true;
    this.#writeStartedMs = this.#parts.readNowMs();
    const batch = this.#finished.slice(0, countWritable(this.#finished));
    this.#finished = this.#finished.slice(batch.length);
    await this.#writeWithRetry(batch);
    this.#isWriting = false;
    this.#writeStartedMs = undefined;
    if (this.#finished.length > 0 && this.#holdTimer === undefined) {
      this.#writeSoon();
    }
  }

  async #writeWithRetry(batch: readonly FinishedItem[]): Promise<void> {
    const { store, log } = this.#parts;
    const { job } = this.loaded;
    this.#writes += 1;
    const writer = `${this.#parts.writerName}/${this.#writes}`;
    const listed = [...this.#listed, ...batch.map(({ index }) => index)];
    const commit = this.#buildCommit(batch, listed, writer);
    while (!this.#isEnded) {
      const outcome =
        (await runSlowStep(log, { step: "write-results", key: job.id }, () =>
          store.commit(commit),
        )) ?? NO_OUTCOME;
      if (outcome.kind === "committed") {
        this.#recordListed(listed, outcome.revision);
        return;
      }
      if (outcome.kind === "conflict") {
        this.#settleConflict(outcome.items, listed, writer);
        return;
      }
      const reason = outcome.kind === "failed" ? outcome.reason : outcome.kind;
      log.warn("results-not-written", { jobId: job.id, reason });
      await waitMs(JOB_CONSTANTS.WRITE_RETRY_DELAY_MS);
    }
  }

  #buildCommit(
    batch: readonly FinishedItem[],
    listed: readonly number[],
    writer: string,
  ): MetadataCommit {
    const { job, claimRevision } = this.loaded;
    const claimKey = batchKeys.claim(job.id);
    const progressKey = batchKeys.progress(job.id);
    const firstPosition = this.#listed.length;
    const isLast = listed.length >= job.itemIds.length;
    const backlogKey = backlogKeys.openJob(job, job.id);
    return {
      expect: [
        { key: claimKey, revision: claimRevision },
        { key: progressKey, revision: this.#progressRevision },
      ],
      set: [
        { key: progressKey, value: batchRecords.encode({ listed, writer }) },
        ...(isLast
          ? []
          : [{ key: backlogKey, value: this.#encodeBacklog(listed) }]),
        ...batch.map(({ result }, offset) => ({
          key: batchKeys.result(job.id, firstPosition + offset),
          value: batchRecords.encode(result),
        })),
      ],
      remove: [
        ...batch
          .filter(({ index }) => this.#savedTexts.has(index))
          .map(({ index }) => batchKeys.text(job.id, index)),
        ...(isLast ? [claimKey, backlogKey] : []),
      ],
    };
  }

  #encodeBacklog(listed: readonly number[]): Buffer {
    const done = new Set(listed);
    const open = [...this.loaded.items].flatMap(([index, item]) =>
      done.has(index) ? [] : [item],
    );
    return batchRecords.encode({ tokens: countTokens(open) });
  }

  #recordListed(listed: readonly number[], revision: number): void {
    const { job } = this.loaded;
    this.#listed = listed;
    this.#progressRevision = revision;
    this.#isEnded = this.#isEnded || listed.length >= job.itemIds.length;
    this.#parts.log.info("results-listed", {
      jobId: job.id,
      listed: listed.length,
      total: job.itemIds.length,
    });
  }

  /**
   * Handles a failed precondition. If the progress record names this write, the
   * commit succeeded earlier and only its answer was lost.
   */
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
      this.#recordListed(listed, record.revision);
      return;
    }
    this.#isEnded = true;
    this.#parts.log.warn("job-lost-to-another", { jobId: job.id });
    this.#parts.onLost();
  }
}

/** Returns how many results, from the first on, one commit takes; at least one. */
function countWritable(finished: readonly FinishedItem[]): number {
  const first = finished.slice(0, MAX_RESULTS);
  const sizes = first.map(({ result }) => Buffer.byteLength(result.text));
  const isOver = sizes.map((_, index) => {
    const bytes = sizes.slice(0, index + 1).reduce((sum, size) => sum + size);
    return index > 0 && bytes > BATCHES.MAX_SAVE_BYTES;
  });
  const count = isOver.indexOf(true);
  return count === -1 ? first.length : count;
}
