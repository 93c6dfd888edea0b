import { mkdtemp } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { InstanceId } from "@gooseberryline/core";
import { credentials, ServerCredentials } from "@grpc/grpc-js";
import { afterEach, expect, test } from "vitest";
import { createLog } from "../logs/create_log.ts";
import { BlobClient } from "./blob_client.ts";
import { createPeerCounts } from "./create_peer_counts.ts";
import { FolderBlobs } from "./folder_blobs.ts";
import { PeerTask } from "./peer_task.ts";
import { startPeerServer } from "./start_peer_server.ts";
import type { BlobStore } from "./types.ts";

const peer = "two" as InstanceId;
const closers: (() => void)[] = [];

const startPair = async (blobs: BlobStore | undefined) => {
  const parts = {
    credentials: {
      client: credentials.createInsecure(),
      server: ServerCredentials.createInsecure(),
      certificateName: undefined,
    },
    counts: createPeerCounts(),
  };
  const server = await startPeerServer(
    { host: "127.0.0.1", port: 0 },
    {
      ...parts,
      log: createLog({}, () => undefined),
      post: () => undefined,
      answer: () => Promise.reject(new Error("none")),
      blobs,
    },
  );
  const peers = new PeerTask({
    ...parts,
    sender: { from: "one" as InstanceId, incarnation: "1" },
    findAddress: (id) => (id === peer ? server.address : undefined),
  });
  closers.push(() => peers.stop(), server.close);
  return new BlobClient(peers);
};

const startPairWithDisk = async () =>
  startPair(new FolderBlobs(await mkdtemp(join(tmpdir(), "blobs-"))));

async function* streamBytes(size: number) {
  yield Buffer.alloc(size, "a");
  yield Buffer.from("end");
}

const readAll = async (content: AsyncIterable<Buffer>) => {
  const blocks: Buffer[] = [];
  for await (const block of content) {
    blocks.push(block);
  }
  return Buffer.concat(blocks);
};

afterEach(() => {
  closers.splice(0).forEach((close) => {
    close();
  });
});

test("a file written to a peer is read back unchanged", async () => {
  const client = await startPairWithDisk();
  const size = 3_000_000;
  const stored = await client.write(peer, "jobs/j1.jsonl", streamBytes(size));
  expect(stored).toEqual({ name: "jobs/j1.jsonl", bytes: size + 3 });
  const content = await readAll(client.get(peer, "jobs/j1.jsonl"));
  expect(content.length).toBe(size + 3);
  expect(content.subarray(-3).toString()).toBe("end");
  expect(await client.list(peer, "jobs/")).toEqual([stored]);
  expect(await client.list(peer, "other/")).toEqual([]);
});

test("reading a missing file rejects", async () => {
  const client = await startPairWithDisk();
  await expect(readAll(client.get(peer, "none"))).rejects.toThrow("ENOENT");
});

test.each(["../x", "/etc/x", "a/../../x", "", ".x"])(
  "the file name %j is rejected",
  async (name) => {
    const client = await startPairWithDisk();
    await expect(client.write(peer, name, streamBytes(1))).rejects.toThrow();
  },
);

test("an upload aborted by its sender leaves no file", async () => {
  const client = await startPairWithDisk();
  async function* streamThenFail() {
    yield Buffer.from("half");
    throw new Error("source lost");
  }
  const sent = client.write(peer, "half", streamThenFail());
  await expect(sent).rejects.toThrow("source lost");
  const other = await client.write(peer, "other", streamBytes(1_000_000));
  expect(await client.list(peer, "")).toEqual([other]);
});

test("an instance without a disk rejects reads and writes", async () => {
  const client = await startPair(undefined);
  const sent = client.write(peer, "a", streamBytes(1));
  await expect(sent).rejects.toThrow("keeps no files");
  const got = readAll(client.get(peer, "a"));
  await expect(got).rejects.toThrow("keeps no files");
});

test("a call to a peer without a known address fails immediately", async () => {
  const client = await startPairWithDisk();
  const list = async () => client.list("three" as InstanceId, "");
  await expect(list()).rejects.toThrow("unknown-peer");
});
