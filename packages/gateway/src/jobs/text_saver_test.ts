import { batchKeys, ITEM_RESULTS } from "@gooseberryline/core";
import { expect, test } from "vitest";
import { SILENT_LOG } from "../testing/silent_log.ts";
import { startJob } from "../testing/start_job.ts";
import { batchRecords } from "./batch_records.ts";
import { TextSaver } from "./text_saver.ts";

function createItem(index: number, events: number) {
  const texts = Array.from({ length: events }, (_, at) => `text ${at}`);
  return {
    jobId: "j1",
    index,
    dueAtMs: 0,
    ranMs: 25 * events,
    item: { id: "a", path: "/", headers: {}, body: "", tokens: 1 },
    promptParts: [],
    text: { texts, lastEventId: events },
    failures: 0,
    tried: new Set<string>(),
    notBeforeMs: 0,
  };
}

async function startSaver(events = 40) {
  const job = await startJob();
  const { owned } = await job.own("w1");
  const items = { list: [createItem(1, events)] };
  const saver = new TextSaver({
    store: job.metadata.store,
    log: SILENT_LOG,
    listItemsWithText: () => items.list,
    getOwned: () => owned,
    countWorkers: () => 1,
    onConflict: () => undefined,
  });
  const countTexts = async (): Promise<number> => {
    const page = await job.metadata.store.listPage(batchKeys.texts("j1"));
    return page.kind === "page" ? page.items.length : -1;
  };
  return { ...job, owned, items, saver, countTexts };
}

// Guards against a rerun of items from their first event after all processes
// were killed (52 items in one run).
test("the next owner resumes after the saved text", async () => {
  const { saver, own } = await startSaver();
  await saver.persistAll();
  const { owned } = await own("w2");
  const text = owned.loaded.texts.get(1);
  expect(text?.lastEventId).toBe(40);
  expect(text?.texts).toHaveLength(40);
  expect(text?.ranMs).toBe(1_000);
});

test("a listed result replaces its saved text", async () => {
  const { saver, owned, countTexts } = await startSaver();
  await saver.persistAll();
  expect(await countTexts()).toBe(1);
  const result = { id: "b", state: ITEM_RESULTS.completed, text: "b" };
  owned.addResult(1, result);
  await expect.poll(() => owned.countListed()).toBe(1);
  expect(await countTexts()).toBe(0);
});

test("a former owner saves nothing", async () => {
  const { saver, metadata, countTexts } = await startSaver();
  const claim = { owner: "w2", incarnation: "1", dueAtMs: 0 };
  const value = batchRecords.encode(claim).toString();
  metadata.writeRecord(batchKeys.claim("j1"), value);
  await saver.persistAll();
  expect(await countTexts()).toBe(0);
});

test("text that is already saved is not written again", async () => {
  const { saver, items, metadata, own } = await startSaver();
  await saver.persistAll();
  const before = metadata.calls.commit;
  await saver.persistAll();
  expect(metadata.calls.commit).toBe(before);
  items.list = [createItem(1, 41)];
  await saver.persistAll();
  const { owned } = await own("w2");
  expect(owned.loaded.texts.get(1)?.lastEventId).toBe(41);
});

test("a text is saved later if the store is unreachable", async () => {
  const { saver, metadata, countTexts } = await startSaver();
  metadata.setFaults({ isDown: true });
  await saver.persistAll();
  metadata.setFaults({ isDown: false });
  expect(await countTexts()).toBe(0);
  await saver.persistAll();
  expect(await countTexts()).toBe(1);
});
