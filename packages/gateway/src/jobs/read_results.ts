import {
  assertNever,
  BATCHES,
  type BatchJob,
  type BatchResult,
  batchKeys,
  type MetadataEvent,
  type MetadataFailure,
  type MetadataStore,
} from "@gooseberryline/core";
import { batchRecords } from "./batch_records.ts";

type Results =
  | { readonly kind: "read"; readonly results: readonly BatchResult[] }
  | MetadataFailure;

/**
 * Reads the results from a position on. Each stands in a record of its own
 * that never changes, so every instance reads the same. Where there is none
 * yet, waits up to `holdMs` for the next one.
 */
export async function readResults(
  store: MetadataStore,
  job: BatchJob,
  from: number,
  holdMs: number,
): Promise<Results> {
  if (from >= job.itemIds.length) {
    return { kind: "read", results: [] };
  }
  const prefix = batchKeys.results(job.id);
  const after = from === 0 ? undefined : batchKeys.result(job.id, from - 1);
  const page = await store.listPage(prefix, after);
  if (page.kind === "failed") {
    return page;
  }
  const results = takeResults(page.items.map(({ value }) => value));
  if (results.length > 0 || holdMs <= 0) {
    return { kind: "read", results };
  }
  const changes = await store.watchPrefix(prefix, page.storeRevision, holdMs);
  switch (changes.kind) {
    case "failed":
      return changes;
    case "compacted":
      return readResults(store, job, from, 0);
    case "changes":
      return { kind: "read", results: takeResults(listValues(changes.events)) };
    default:
      return assertNever(changes);
  }
}

/** Values that were set, in the order of their positions. */
function listValues(events: readonly MetadataEvent[]): readonly Buffer[] {
  return events
    .flatMap((event) => (event.kind === "set" ? [event.item] : []))
    .sort((a, b) => (a.key < b.key ? -1 : 1))
    .map(({ value }) => value);
}

/** As many results as one answer holds, at least one if there is any. */
function takeResults(values: readonly Buffer[]): readonly BatchResult[] {
  const kept = values.reduce(
    ({ list, bytes }, value) => ({
      list:
        list.length === 0 || bytes + value.length <= BATCHES.MAX_READ_BYTES
          ? [...list, value]
          : list,
      bytes: bytes + value.length,
    }),
    { list: [] as readonly Buffer[], bytes: 0 },
  );
  return kept.list
    .map((value) => batchRecords.decodeResult(value))
    .filter((result) => result !== undefined);
}
