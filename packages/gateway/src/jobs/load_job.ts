import {
  type BatchClaim,
  type BatchItem,
  type BatchJob,
  batchKeys,
  type MetadataItem,
  type MetadataStore,
  type PartialItemText,
  type ReadOptions,
} from "@gooseberryline/core";
import { readImmutable } from "../store/read_immutable.ts";
import { batchRecords } from "./batch_records.ts";
import type { LoadedJob } from "./owned_job.ts";

type Progress = Pick<LoadedJob, "listed" | "texts" | "progressRevision">;

/**
 * Loads a job that this instance owns; returns undefined if a read fails. `isFirst`:
 * this process has not loaded it before.
 */
export async function loadJob(
  store: MetadataStore,
  jobId: string,
  claim: BatchClaim,
  claimRevision: number,
  isFirst = false,
): Promise<LoadedJob | undefined> {
  const read = await readImmutable(store, batchKeys.job(jobId));
  const job =
    read.kind === "read" && read.item !== undefined
      ? batchRecords.decodeJob(read.item.value)
      : undefined;
  if (read.kind === "failed" || job === undefined) {
    return undefined;
  }
  // The claim is still that of the commit which accepted the job, so no owner has
  // listed or saved anything.
  const isUntouched = isFirst && read.item?.revision === claimRevision;
  const [items, progress] = await Promise.all([
    loadItems(store, job),
    isUntouched
      ? { listed: [], texts: new Map(), progressRevision: claimRevision }
      : loadProgress(store, jobId),
  ]);
  return items === undefined || progress === undefined
    ? undefined
    : {
        job,
        items: locateItems(job, items),
        claim,
        claimRevision,
        ...progress,
      };
}

async function loadProgress(
  store: MetadataStore,
  jobId: string,
): Promise<Progress | undefined> {
  const [read, texts] = await Promise.all([
    store.readKey(batchKeys.progress(jobId)),
    loadTexts(store, jobId),
  ]);
  const item = read.kind === "read" ? read.item : undefined;
  const record = item && batchRecords.decodeProgress(item.value);
  return record === undefined || texts === undefined
    ? undefined
    : { listed: record.listed, texts, progressRevision: item?.revision ?? 0 };
}

/** Returns a job's items by their index in it; unreadable ones are left out. */
function locateItems(
  { itemIds }: BatchJob,
  items: readonly BatchItem[],
): ReadonlyMap<number, BatchItem> {
  const byId = new Map(items.map((item) => [item.id, item]));
  return new Map(
    itemIds.flatMap((id, index) => {
      const item = byId.get(id);
      return item === undefined ? [] : [[index, item] as const];
    }),
  );
}

/** Loads the partial outputs saved by an earlier owner, by item index. */
async function loadTexts(
  store: MetadataStore,
  jobId: string,
  after?: string,
): Promise<ReadonlyMap<number, PartialItemText> | undefined> {
  const page = await store.listPage(batchKeys.texts(jobId), after);
  if (page.kind === "failed") {
    return undefined;
  }
  const texts = page.items
    .map(({ value }) => batchRecords.decodeText(value))
    .filter((text) => text !== undefined)
    .map((text) => [text.index, text] as const);
  const last = page.items.at(-1);
  if (!page.hasMore || last === undefined) {
    return new Map(texts);
  }
  const rest = await loadTexts(store, jobId, last.key);
  return rest === undefined ? undefined : new Map([...texts, ...rest]);
}

/**
 * Loads a job's items. They never change once the job is accepted, so a cheap read
 * that may be old will do if it shows all of their records.
 */
async function loadItems(
  store: MetadataStore,
  job: BatchJob,
): Promise<readonly BatchItem[] | undefined> {
  const old = await loadChunks(store, job.id, { mayBeStale: true });
  const chunks =
    old?.length === job.chunkStarts.length
      ? old
      : await loadChunks(store, job.id);
  return chunks?.flatMap(decodeChunk);
}

async function loadChunks(
  store: MetadataStore,
  jobId: string,
  options?: ReadOptions,
  after?: string,
): Promise<readonly MetadataItem[] | undefined> {
  const page = await store.listPage(batchKeys.items(jobId), after, options);
  if (page.kind === "failed") {
    return undefined;
  }
  const last = page.items.at(-1);
  if (!page.hasMore || last === undefined) {
    return page.items;
  }
  const rest = await loadChunks(store, jobId, options, last.key);
  return rest === undefined ? undefined : [...page.items, ...rest];
}

/** Returns the items of a record; none if it can't be read. */
function decodeChunk({ value }: MetadataItem): readonly BatchItem[] {
  return batchRecords.decodeChunk(value) ?? [];
}
