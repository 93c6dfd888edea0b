import type { PromptBlock } from "@gooseberryline/core";
import { createMetadata, type FakeMetadata } from "@gooseberryline/fakes";
import { expect, test, vi } from "vitest";
import { createView } from "../testing/create_view.ts";
import { SILENT_LOG } from "../testing/silent_log.ts";
import { BlockKeeper } from "./block_keeper.ts";
import { blockRecord } from "./block_record.ts";
import { buildBlockId } from "./build_block_id.ts";

const BLOCK: PromptBlock = {
  kind: "prompt",
  parts: ["x"],
  customers: ["c1"],
  upstreams: ["u1", "u2"],
};
const SUBJECT = { parts: ["x"], customer: "c1", hasKey: () => false };

function startKeeper(metadata: FakeMetadata) {
  const tracker = createView().crashes;
  const { store } = metadata;
  const keeper = new BlockKeeper({ store, tracker, log: SILENT_LOG });
  return { tracker, keeper };
}

async function readBlock(metadata: FakeMetadata) {
  const read = await metadata.store.readKey(blockRecord.buildKey(BLOCK));
  const item = read.kind === "read" ? read.item : undefined;
  return item && blockRecord.decode(item.value);
}

test("a block is written to the store, also after the store was away", async () => {
  const metadata = createMetadata();
  const { tracker, keeper } = startKeeper(metadata);
  metadata.setFaults({ isRefusing: true });
  tracker.addBlock(BLOCK, "evidence");
  setTimeout(() => {
    metadata.setFaults({ isRefusing: false });
  }, 1_600);
  await vi.waitFor(
    async () => expect(await readBlock(metadata)).toMatchObject(BLOCK),
    {
      timeout: 10_000,
    },
  );
  keeper.stop();
});

test("an instance that starts reads the block from its record", () => {
  const { tracker, keeper } = startKeeper(createMetadata());
  const key = blockRecord.buildKey(BLOCK);
  const value = blockRecord.encode(BLOCK);
  const item = { key, value, revision: 7 };
  keeper.handleEvent(buildBlockId(BLOCK), { kind: "set", item });
  expect(tracker.findBlock(SUBJECT)).toBeDefined();
  keeper.stop();
});

test("a record that is removed lifts its block", () => {
  const { tracker, keeper } = startKeeper(createMetadata());
  tracker.addBlock(BLOCK, "peer");
  const key = blockRecord.buildKey(BLOCK);
  keeper.handleEvent(buildBlockId(BLOCK), {
    kind: "removed",
    key,
    revision: 8,
  });
  expect(tracker.findBlock(SUBJECT)).toBeUndefined();
  keeper.stop();
});

test("a record of an earlier build, without its kind, blocks its parts", () => {
  const { tracker, keeper } = startKeeper(createMetadata());
  const { kind, ...record } = BLOCK;
  const value = Buffer.from(JSON.stringify(record));
  const item = { key: `${blockRecord.prefix}1`, value, revision: 7 };
  keeper.handleEvent("1", { kind: "set", item });
  expect(tracker.blocks.map((block) => block.kind)).toEqual([kind]);
  keeper.stop();
});

test("a record without parts blocks nothing", () => {
  const { tracker, keeper } = startKeeper(createMetadata());
  const value = blockRecord.encode({ ...BLOCK, parts: [] });
  const item = { key: `${blockRecord.prefix}1`, value, revision: 7 };
  keeper.handleEvent("1", { kind: "set", item });
  expect(tracker.blocks).toEqual([]);
  keeper.stop();
});

test("the record of a block that ends by itself is removed", async () => {
  const metadata = createMetadata();
  const { tracker, keeper } = startKeeper(metadata);
  const upstreams = ["u1", "u2", "u3"];
  tracker.addBlock({ ...BLOCK, upstreams }, "evidence");
  await vi.waitFor(
    async () => expect(await readBlock(metadata)).toBeDefined(),
    { timeout: 10_000 },
  );
  tracker.recordReached("u1", performance.now());
  expect(tracker.blocks).toEqual([]);
  await vi.waitFor(
    async () => expect(await readBlock(metadata)).toBeUndefined(),
    { timeout: 10_000 },
  );
  keeper.stop();
});
