import {
  assertNever,
  type BatchJob,
  type BatchResult,
  batchKeys,
  type EventLog,
  type MetadataEvent,
  type MetadataFailure,
  type MetadataItem,
  type MetadataStore,
} from "@gooseberryline/core";
import { addRecentEntry } from "../add_recent_entry.ts";
import { listImmutable } from "../store/list_immutable.ts";
import { JOB_CONSTANTS } from "./constants.ts";
import type { ResultCountFeed } from "./result_count_feed.ts";
import { takeResults } from "./take_results.ts";

type ResultsPage =
  | { readonly kind: "read"; readonly results: readonly BatchResult[] }
  | MetadataFailure;

type ReaderParts = {
  readonly store: MetadataStore;
  readonly resultCounts: ResultCountFeed;
  readonly log: EventLog;
};

/**
 * Store revision after which all results at `position` and beyond were written:
 * that of the last result before it, or of an up-to-date listing.
 */
type ReadPosition = { readonly position: number; readonly revision: number };

/** How the results of an answer were obtained, for the log. */
type ReadWay = "listed" | "watched";

/**
 * Reads results of jobs. Each result is an immutable record whose key names its
 * position, so every instance reads the same. A reader that has all results
 * reported by the owner waits for its next report; without recent reports, a
 * watch from the last read revision returns what was listed since.
 */
export class ResultsReader {
  readonly #parts: ReaderParts;
  readonly #positions = new Map<string, ReadPosition>();

  constructor(parts: ReaderParts) {
    this.#parts = parts;
  }

  /** Reads from a position; waits up to `maxWaitMs` if none is listed yet. */
  async read(
    job: BatchJob,
    from: number,
    maxWaitMs: number,
  ): Promise<ResultsPage> {
    if (from >= job.itemIds.length) {
      return { kind: "read", results: [] };
    }
    const { resultCounts } = this.#parts;
    const startedMs = performance.now();
    const availability = await resultCounts.wait(job.id, from, maxWaitMs);
    switch (availability) {
      case "none":
        return { kind: "read", results: [] };
      case "more":
        return this.#list(job, from, 0);
      case "unknown": {
        const spentMs = Math.round(performance.now() - startedMs);
        return this.#readStore(job, from, Math.max(0, maxWaitMs - spentMs));
      }
      default:
        return assertNever(availability);
    }
  }

  #readStore(
    job: BatchJob,
    from: number,
    maxWaitMs: number,
  ): Promise<ResultsPage> {
    const known = this.#positions.get(job.id);
    return known?.position === from && maxWaitMs > 0
      ? this.#watch(job, known, maxWaitMs)
      : this.#list(job, from, maxWaitMs);
  }

  async #list(
    job: BatchJob,
    from: number,
    maxWaitMs: number,
  ): Promise<ResultsPage> {
    const { store } = this.#parts;
    const prefix = batchKeys.results(job.id);
    const after = from === 0 ? undefined : batchKeys.result(job.id, from - 1);
    const page = await listImmutable(store, prefix, after);
    if (page.kind === "failed") {
      return page;
    }
    const { items, hasMore, storeRevision } = page;
    if (items.length === 0 && maxWaitMs > 0) {
      const reached = { position: from, revision: storeRevision };
      this.#recordPosition(job, reached);
      return this.#watch(job, reached, maxWaitMs);
    }
    return this.#take(job, from, items, hasMore, "listed");
  }

  async #watch(
    job: BatchJob,
    { position, revision }: ReadPosition,
    maxWaitMs: number,
  ): Promise<ResultsPage> {
    const { store } = this.#parts;
    const prefix = batchKeys.results(job.id);
    const startedMs = performance.now();
    const changes = await store.watchPrefix(prefix, revision, maxWaitMs);
    switch (changes.kind) {
      case "failed":
        return changes;
      case "compacted":
        this.#positions.delete(job.id);
        return this.#list(job, position, 0);
      case "changes": {
        const items = listItems(changes.events);
        const key = batchKeys.result(job.id, position);
        const ahead = items.filter((item) => item.key >= key);
        const leftMs = maxWaitMs - (performance.now() - startedMs);
        const last = items.at(-1);
        if (ahead.length > 0 || last === undefined || leftMs <= 0) {
          return this.#take(job, position, ahead, false, "watched");
        }
        // A reader past the end hears of the results before its position.
        const next = { position, revision: last.revision };
        return this.#watch(job, next, Math.round(leftMs));
      }
      default:
        return assertNever(changes);
    }
  }

  /**
   * Answers with the results that stand at `from` and right after it. An unreadable
   * record ends the answer, so that none takes the place of another.
   */
  #take(
    job: BatchJob,
    from: number,
    items: readonly MetadataItem[],
    hasMore: boolean,
    way: ReadWay,
  ): ResultsPage {
    const { log } = this.#parts;
    const { results, unreadable } = takeResults(job.id, from, items);
    if (unreadable !== undefined) {
      log.warn("result-unreadable", { jobId: job.id, position: unreadable });
    }
    if (unreadable !== undefined && results.length === 0) {
      const reason = "the result's record can't be read";
      return { kind: "failed", isUndone: true, step: "results", reason };
    }
    const last = items.at(-1);
    if (results.length > 0) {
      const count = results.length;
      log.info("results-read", { jobId: job.id, from, count, way });
    }
    // The store's revision may be ahead of changes not delivered yet, so the
    // position keeps the revision of the last result received.
    if (last !== undefined && !hasMore && results.length === items.length) {
      const position = from + results.length;
      this.#recordPosition(job, { position, revision: last.revision });
    }
    return { kind: "read", results };
  }

  #recordPosition(job: BatchJob, reached: ReadPosition): void {
    const { MAX_CACHED_JOBS } = JOB_CONSTANTS;
    addRecentEntry(this.#positions, job.id, reached, MAX_CACHED_JOBS);
  }
}

/** Returns the records that were set, ordered by position. */
function listItems(events: readonly MetadataEvent[]): readonly MetadataItem[] {
  return events
    .flatMap((event) => (event.kind === "set" ? [event.item] : []))
    .sort((a, b) => (a.key < b.key ? -1 : 1));
}
