import { BATCHES, batchKeys } from "@gooseberryline/core";
import { createMetadata } from "@gooseberryline/fakes";
import { expect, test } from "vitest";
import { createView } from "../testing/create_view.ts";
import { SILENT_LOG } from "../testing/silent_log.ts";
import { batchRecords } from "./batch_records.ts";
import { JobSweeper } from "./job_sweeper.ts";

async function startSweeper() {
  const metadata = createMetadata();
  const { store } = metadata;
  const view = createView("run");
  const itemIds = Array.from({ length: 40 }, (_, index) => `${index}`);
  const job = {
    id: "j1",
    customer: "t1",
    host: "h",
    prefix: "/",
    configRevision: 1,
    submittedAtMs: 1_000,
    dueMs: 10_000,
    retentionMs: 60_000,
    maxAttempts: 1,
    itemIds,
    chunkStarts: [0],
  };
  const writeRecord = (key: string, value: Buffer): void =>
    metadata.writeRecord(key, value.toString());
  writeRecord(batchKeys.job("j1"), batchRecords.encode(job));
  writeRecord(batchKeys.chunk("j1", 0), batchRecords.encodeChunk([]));
  const text = { index: 3, texts: ["a"], lastEventId: 1, ranMs: 25 };
  writeRecord(batchKeys.text("j1", 3), batchRecords.encode(text));
  itemIds.forEach((id, at) => {
    const result = { id, state: "completed", text: "" } as const;
    writeRecord(batchKeys.result("j1", at), batchRecords.encode(result));
  });
  const endMs =
    job.submittedAtMs + job.retentionMs + BATCHES.FINISHED_JOB_RETENTION_MS;
  const countRecords = async (): Promise<number> => {
    const page = await store.listPage("jobs/");
    return page.kind === "page" ? page.items.length : -1;
  };
  const sweeper = new JobSweeper({ view, store, log: SILENT_LOG });
  return { metadata, sweeper, endMs, countRecords };
}

test("a job is kept until it expires", async () => {
  const { sweeper, endMs, countRecords } = await startSweeper();
  await sweeper.sweep(endMs);
  expect(await countRecords()).toBe(43);
});

test("all records of an expired job are removed", async () => {
  const { sweeper, endMs, countRecords } = await startSweeper();
  await sweeper.sweep(endMs + 1);
  expect(await countRecords()).toBe(0);
});

// Guards against a worker that loads a job again and again whose records are gone.
test("an expired job that is still open leaves no claim", async () => {
  const { metadata, sweeper, endMs, countRecords } = await startSweeper();
  const claim = { owner: "w1", incarnation: "1", dueAtMs: 0 };
  const value = batchRecords.encode(claim).toString();
  metadata.writeRecord(batchKeys.claim("j1"), value);
  await sweeper.sweep(endMs + 1);
  expect(await countRecords()).toBe(0);
});
