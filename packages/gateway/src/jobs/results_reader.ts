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
import { listConstants } from "../store/list_constants.ts";
import { batchRecords } from "./batch_records.ts";
import { putRecent } from "./put_recent.ts";
import type { ResultCountFeed } from "./result_count_feed.ts";

type Results =
  | { readonly kind: "read"; readonly results: readonly BatchResult[] }
  | MetadataFailure;

/**
 * Whatever stands at `position` or beyond came after `revision` of the store:
 * that of the last result before it, or of a listing that was up to date.
 */
type KnownEnd = { readonly position: number; readonly revision: number };

/**
 * Reads results of jobs. Each stands in a record of its own that never
 * changes, so every instance reads the same. A reader who has all that the
 * job's owner says are listed waits for its news; where nothing is heard of
 * the owner, one watch from the last read tells what came since.
 */
export class ResultsReader {
  readonly #store: MetadataStore;
  readonly #news: ResultCountFeed;
  readonly #ends = new Map<string, KnownEnd>();

  constructor(store: MetadataStore, news: ResultCountFeed) {
    this.#store = store;
    this.#news = news;
  }

  /** Reads from a position on; waits up to `holdMs` where none stands yet. */
  async read(job: BatchJob, from: number, holdMs: number): Promise<Results> {
    if (from >= job.itemIds.length) {
      return { kind: "read", results: [] };
    }
    const startedMs = performance.now();
    const state = await this.#news.wait(job.id, from, holdMs);
    switch (state) {
      case "none":
        return { kind: "read", results: [] };
      case "more":
        return this.#list(job, from, 0);
      case "unknown": {
        const spentMs = Math.round(performance.now() - startedMs);
        return this.#readStore(job, from, Math.max(0, holdMs - spentMs));
      }
      default:
        return assertNever(state);
    }
  }

  #readStore(job: BatchJob, from: number, holdMs: number): Promise<Results> {
    const end = this.#ends.get(job.id);
    return end?.position === from && holdMs > 0
      ? this.#watch(job, end, holdMs)
      : this.#list(job, from, holdMs);
  }

  async #list(job: BatchJob, from: number, holdMs: number): Promise<Results> {
    const prefix = batchKeys.results(job.id);
    const after = from === 0 ? undefined : batchKeys.result(job.id, from - 1);
    const page = await listConstants(this.#store, prefix, after);
    if (page.kind === "failed") {
      return page;
    }
    const results = takeResults(page.items.map(({ value }) => value));
    const position = from + results.length;
    const revision = page.items.at(-1)?.revision ?? page.storeRevision;
    const end = { position, revision };
    if (!page.hasMore && results.length === page.items.length) {
      putRecent(this.#ends, job.id, end);
    }
    return results.length > 0 || holdMs <= 0
      ? { kind: "read", results }
      : this.#watch(job, end, holdMs);
  }

  async #watch(
    job: BatchJob,
    { position, revision }: KnownEnd,
    holdMs: number,
  ): Promise<Results> {
    const prefix = batchKeys.results(job.id);
    const changes = await this.#store.watchPrefix(prefix, revision, holdMs);
    switch (changes.kind) {
      case "failed":
        return changes;
      case "compacted":
        this.#ends.delete(job.id);
        return this.#list(job, position, 0);
      case "changes": {
        const items = listItems(changes.events);
        const results = takeResults(items.map(({ value }) => value));
        const last = items.at(-1);
        // The store's revision may be beyond changes that were kept back.
        if (last !== undefined && results.length === items.length) {
          putRecent(this.#ends, job.id, {
            position: position + results.length,
            revision: last.revision,
          });
        }
        return { kind: "read", results };
      }
      default:
        return assertNever(changes);
    }
  }
}

/** Records that were set, in the order of their positions. */
function listItems(events: readonly MetadataEvent[]): readonly MetadataItem[] {
  return events
    .flatMap((event) => (event.kind === "set" ? [event.item] : []))
    .sort((a, b) => (a.key < b.key ? -1 : 1));
}

/** As many results as one answer holds, at least one if there is any. */
function takeResults(values: readonly Buffer[]): readonly BatchResult[] {
  const ends = values.map((_, index) =>
    values.slice(0, index + 1).reduce((sum, { length }) => sum + length, 0),
  );
  return values
    .filter(
      (_, index) => index === 0 || (ends[index] ?? 0) <= BATCHES.MAX_READ_BYTES,
    )
    .map((value) => batchRecords.decodeResult(value))
    .filter((result) => result !== undefined);
}
