import type { InstanceId } from "@gooseberryline/core";
import type { PeerClient } from "@gooseberryline/protocol";
import type { BlobPeers } from "../jobs/types.ts";
import { PeerError } from "./peer_error.ts";
import type { PeerTask } from "./peer_task.ts";
import type { PeerBlob } from "./types.ts";

const CHUNK_BYTES = 65_536;
const LIST_TIMEOUT_MS = 5_000;

/** Reads and writes files in the data folders of peers. */
export class BlobClient implements BlobPeers {
  readonly #peers: PeerTask;

  constructor(peers: PeerTask) {
    this.#peers = peers;
  }

  /** Writes a file to a peer; resolves once the peer has synced it. */
  write(
    to: InstanceId,
    name: string,
    content: AsyncIterable<Buffer>,
  ): Promise<PeerBlob> {
    const { client } = this.#peers.requireLink(to);
    return new Promise((resolve, reject) => {
      const call = client.putBlob((error, info) => {
        if (error === null && info !== undefined) {
          resolve(info);
        } else {
          reject(describeError(error, "put", to));
        }
      });
      call.on("error", () => undefined);
      sendContent(call, name, content).catch((error: unknown) => {
        call.cancel();
        reject(describeError(error, "put", to));
      });
    });
  }

  /** Streams a file from a peer; rejects if the peer does not have it. */
  async *get(from: InstanceId, name: string): AsyncIterable<Buffer> {
    const { client } = this.#peers.requireLink(from);
    const call = client.getBlob({ name });
    try {
      for await (const { data } of call as AsyncIterable<{ data: Buffer }>) {
        yield data;
      }
    } catch (error) {
      throw describeError(error, "get", from);
    } finally {
      call.cancel();
    }
  }

  list(at: InstanceId, prefix: string): Promise<readonly PeerBlob[]> {
    const { client } = this.#peers.requireLink(at);
    const deadline = Date.now() + LIST_TIMEOUT_MS;
    return new Promise((resolve, reject) => {
      client.listBlobs({ prefix }, { deadline }, (error, found) => {
        if (error === null && found !== undefined) {
          resolve(found.blobs);
        } else {
          reject(describeError(error, "list", at));
        }
      });
    });
  }
}

async function sendContent(
  call: ReturnType<PeerClient["putBlob"]>,
  name: string,
  content: AsyncIterable<Buffer>,
): Promise<void> {
  call.write({ name, data: Buffer.alloc(0) });
  for await (const block of content) {
    const chunks = Array.from(
      { length: Math.ceil(block.length / CHUNK_BYTES) },
      (_, at) => block.subarray(at * CHUNK_BYTES, (at + 1) * CHUNK_BYTES),
    );
    const isFull = chunks
      .map((data) => call.write({ data }))
      .some((hasRoom) => !hasRoom);
    if (isFull) {
      await waitForRoom(call);
    }
  }
  call.end();
}

function waitForRoom(call: ReturnType<PeerClient["putBlob"]>): Promise<void> {
  return new Promise((resolve, reject) => {
    call.once("drain", resolve);
    call.once("error", reject);
  });
}

function describeError(
  error: unknown,
  step: string,
  peer: InstanceId,
): PeerError {
  const detail = error instanceof Error ? error.message : String(error);
  return error instanceof PeerError
    ? error
    : new PeerError("unreachable", { step, peer, detail });
}
