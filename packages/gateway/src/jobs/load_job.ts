import {
  type BatchClaim,
  type BatchItem,
  type BatchJob,
  batchKeys,
  type MetadataItem,
  type MetadataStore,
  type PartialItemText,
} from "@gooseberryline/core";
import { batchRecords } from "./batch_records.ts";
import type { LoadedJob } from "./owned_job.ts";

/** Loads a job that this instance owns; returns undefined if a read fails. */
export async function loadJob(
  store: MetadataStore,
  jobId: string,
  claim: BatchClaim,
  claimRevision: number,
): Promise<LoadedJob | undefined> {
  const [job, progress, items, texts] = await Promise.all([
    store.readKey(batchKeys.job(jobId)),
    store.readKey(batchKeys.progress(jobId)),
    loadItems(store, jobId),
    loadTexts(store, jobId),
  ]);
  if (job.kind === "failed" || progress.kind === "failed") {
    return undefined;
  }
  const jobRecord = job.item && batchRecords.decodeJob(job.item.value);
  const progressRecord =
    progress.item && batchRecords.decodeProgress(progress.item.value);
  if (
    jobRecord === undefined ||
    progressRecord === undefined ||
    items === undefined
  ) {
    return undefined;
  }
  if (texts === undefined) {
    return undefined;
  }
  return {
    job: jobRecord,
    items: locateItems(jobRecord, items),
    claim,
    claimRevision,
    listed: progressRecord.listed,
    texts,
    progressRevision: progress.item?.revision ?? 0,
  };
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

async function loadItems(
  store: MetadataStore,
  jobId: string,
  after?: string,
): Promise<readonly BatchItem[] | undefined> {
  const page = await store.listPage(batchKeys.items(jobId), after);
  if (page.kind === "failed") {
    return undefined;
  }
  const items = page.items.flatMap(decodeChunk);
  const last = page.items.at(-1);
  if (!page.hasMore || last === undefined) {
    return items;
  }
  const rest = await loadItems(store, jobId, last.key);
  return rest === undefined ? undefined : [...items, ...rest];
}

/** Returns the items of a record; none if it can't be read. */
function decodeChunk({ value }: MetadataItem): readonly BatchItem[] {
  return batchRecords.decodeChunk(value) ?? [];
}
