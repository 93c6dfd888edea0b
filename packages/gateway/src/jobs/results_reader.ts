import {
  assertNever,
  BATCHES,
  type BatchJob,
  type BatchResult,
  batchKeys,
  type MetadataEvent,
  type MetadataFailure,
  type MetadataItem,
  type MetadataStore,
} from "@gooseberryline/core";
import { addRecentEntry } from "../add_recent_entry.ts";
import { listImmutable } from "../store/list_immutable.ts";
import { batchRecords } from "./batch_records.ts";
import { JOB_CONSTANTS } from "./constants.ts";
import type { ResultCountFeed } from "./result_count_feed.ts";

type ResultsPage =
  | { readonly kind: "read"; readonly results: readonly BatchResult[] }
  | MetadataFailure;

/**
 * Store revision after which all results at `position` and beyond were written:
 * that of the last result before it, or of an up-to-date listing.
 */
type ReadPosition = { readonly position: number; readonly revision: number };

/**
 * Reads results of jobs. Each result is an immutable record, so every instance
 * reads the same. A reader that has all results reported by the owner waits for
 * its next report; without recent reports, one watch from the last read
 * revision returns what was listed since.
 */
export class ResultsReader {
  readonly #store: MetadataStore;
  readonly #resultCounts: ResultCountFeed;
  readonly #positions = new Map<string, ReadPosition>();

  constructor(store: MetadataStore, resultCounts: ResultCountFeed) {
    this.#store = store;
    this.#resultCounts = resultCounts;
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
    const startedMs = performance.now();
    const availability = await this.#resultCounts.wait(job.id, from, maxWaitMs);
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
    const prefix = batchKeys.results(job.id);
    const after = from === 0 ? undefined : batchKeys.result(job.id, from - 1);
    const page = await listImmutable(this.#store, prefix, after);
    if (page.kind === "failed") {
      return page;
    }
    const results = takeResults(page.items.map(({ value }) => value));
    const position = from + results.length;
    const revision = page.items.at(-1)?.revision ?? page.storeRevision;
    const reached = { position, revision };
    if (!page.hasMore && results.length === page.items.length) {
      addRecentEntry(
        this.#positions,
        job.id,
        reached,
        JOB_CONSTANTS.MAX_CACHED_JOBS,
      );
    }
    return results.length > 0 || maxWaitMs <= 0
      ? { kind: "read", results }
      : this.#watch(job, reached, maxWaitMs);
  }

  async #watch(
    job: BatchJob,
    { position, revision }: ReadPosition,
    maxWaitMs: number,
  ): Promise<ResultsPage> {
    const prefix = batchKeys.results(job.id);
    const changes = await this.#store.watchPrefix(prefix, revision, maxWaitMs);
    switch (changes.kind) {
      case "failed":
        return changes;
      case "compacted":
        this.#positions.delete(job.id);
        return this.#list(job, position, 0);
      case "changes": {
        const items = listItems(changes.events);
        const results = takeResults(items.map(({ value }) => value));
        const last = items.at(-1);
        // The store's revision may be ahead of changes not delivered yet, so
        // the position keeps the revision of the last result received.
        if (last !== undefined && results.length === items.length) {
          addRecentEntry(
            this.#positions,
            job.id,
            {
              position: position + results.length,
              revision: last.revision,
            },
            JOB_CONSTANTS.MAX_CACHED_JOBS,
          );
        }
        return { kind: "read", results };
      }
      default:
        return assertNever(changes);
    }
  }
}

/** Returns the records that were set, ordered by position. */
function listItems(events: readonly MetadataEvent[]): readonly MetadataItem[] {
  return events
    .flatMap((event) => (event.kind === "set" ? [event.item] : []))
    .sort((a, b) => (a.key < b.key ? -1 : 1));
}

/** Returns as many results as one response may hold, at least one if any. */
function takeResults(values: readonly Buffer[]): readonly BatchResult[] {
  const cumulativeBytes = values.map((_, index) =>
    values.slice(0, index + 1).reduce((sum, { length }) => sum + length, 0),
  );
  return values
    .filter(
      (_, index) =>
        index === 0 ||
        (cumulativeBytes[index] ?? 0) <= BATCHES.MAX_RESULTS_RESPONSE_BYTES,
    )
    .map((value) => batchRecords.decodeResult(value))
    .filter((result) => result !== undefined);
}
