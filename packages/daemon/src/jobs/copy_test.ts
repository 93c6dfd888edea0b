import { mkdtemp } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { InstanceId, InstanceState } from "@gooseberryline/core";
import { expect, test } from "vitest";
import { DataFolder } from "./data_folder.ts";
import { ReplicationTask } from "./replication_task.ts";
import { SharedBlobs } from "./shared_blobs.ts";
import type { BlobPeers } from "./types.ts";

const NAME = "files/file-1.data";
const silent = () => undefined;
const log = { info: silent, warn: silent, error: silent } as never;

async function* streamText(text: string): AsyncIterable<Buffer> {
  yield Buffer.from(text);
}

const collect = async (content: AsyncIterable<Buffer>) => {
  const chunks: Buffer[] = [];
  for await (const chunk of content) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString();
};

const buildState = () =>
  ({
    self: { instanceId: "one", dataCentre: "a", hasDisk: true },
    jobs: { known: { runs: {} }, revision: 1 },
    membership: {
      members: {
        two: {
          instanceId: "two",
          dataCentre: "b",
          hasDisk: true,
          isStopping: false,
          lastSeenMs: Date.now(),
        },
      },
    },
  }) as unknown as InstanceState;

const startCopies = async () => {
  const root = await mkdtemp(join(tmpdir(), "copies-"));
  const disk = new Map<string, string>();
  const peers: BlobPeers = {
    write: async (_to, name, content) => {
      disk.set(name, await collect(content));
      return { name, bytes: 0 };
    },
    get: (_from, name) => streamText(disk.get(name) ?? ""),
    list: async () => [...disk.keys()].map((name) => ({ name, bytes: 0 })),
  };
  const folder = new DataFolder(root);
  const readState = buildState;
  const blobs = new SharedBlobs({ folder, peers, readState, log });
  const task = new ReplicationTask({ blobs, peers, readState, log });
  await folder.write(NAME, streamText("kept"));
  return { disk, blobs, task };
};

test("a file whose other copy was lost is replicated again", async () => {
  const { disk, blobs, task } = await startCopies();
  expect(await blobs.replicate([NAME])).toEqual(["one", "two"]);
  disk.clear();
  expect(await task.run()).toEqual([]);
  expect(await task.run()).toEqual([NAME]);
  expect(disk.get(NAME)).toBe("kept");
  expect(await task.run()).toEqual([]);
  task.stop();
});

test("results are removed once their job no longer runs", async () => {
  const { disk, blobs, task } = await startCopies();
  await blobs.folder.write("results/runs.0.1.0/000000", streamText("r"));
  await blobs.folder.write("results/over.0.1.0/000000", streamText("r"));
  await task.run();
  await task.run();
  expect(disk.has("results/runs.0.1.0/000000")).toBe(true);
  expect(await blobs.folder.has("results/over.0.1.0/000000")).toBe(false);
  task.stop();
});

test("a failed copy is retried in a later round", async () => {
  const { blobs, task } = await startCopies();
  const at = "two" as InstanceId;
  await expect(blobs.replicate([NAME], [at])).resolves.toEqual(["one"]);
  await task.run();
  expect(await task.run()).toEqual([NAME]);
  task.stop();
});

test("temporary files of a crashed process are removed on start", async () => {
  const root = await mkdtemp(join(tmpdir(), "copies-"));
  const folder = new DataFolder(root);
  const draft = `${NAME}.1.part`;
  await folder.write(draft, streamText("half"));
  await folder.write(NAME, streamText("whole"));
  expect(await folder.has(draft)).toBe(true);
  await folder.open();
  expect(await folder.has(draft)).toBe(false);
  expect(await folder.has(NAME)).toBe(true);
});
