import type { PeerHandlers } from "@gooseberryline/protocol";
import { status } from "@grpc/grpc-js";
import { readBlobStream } from "./read_blob_stream.ts";
import type { BlobStore } from "./types.ts";

const CHUNK_BYTES = 65_536;
const REFUSAL = {
  code: status.FAILED_PRECONDITION,
  details: "this instance keeps no files",
};

/**
 * Creates the file handlers for peers; they reject calls if there is no disk.
 */
export function createBlobHandlers(
  blobs: BlobStore | undefined,
): Pick<PeerHandlers, "PutBlob" | "GetBlob" | "ListBlobs"> {
  return {
    PutBlob: (call, callback) => {
      if (blobs === undefined) {
        callback(REFUSAL);
        return;
      }
      readBlobStream(call, () => call.cancelled)
        .then(async ({ name, content }) => {
          const bytes = await blobs.write(name, content);
          callback(null, { name, bytes });
        })
        .catch((error: unknown) => callback(describeError(error)));
    },
    GetBlob: (call) => {
      if (blobs === undefined) {
        call.emit("error", REFUSAL);
        return;
      }
      sendBlob(blobs, call).catch((error: unknown) => {
        call.emit("error", describeError(error));
      });
    },
    ListBlobs: ({ request }, callback) => {
      if (blobs === undefined) {
        callback(REFUSAL);
        return;
      }
      blobs.list(request.prefix).then(
        (found) => callback(null, { blobs: [...found] }),
        (error: unknown) => callback(describeError(error)),
      );
    },
  };
}

async function sendBlob(
  blobs: BlobStore,
  call: Parameters<PeerHandlers["GetBlob"]>[0],
): Promise<void> {
  for await (const block of blobs.read(call.request.name)) {
    const chunks = Array.from(
      { length: Math.ceil(block.length / CHUNK_BYTES) },
      (_, at) => block.subarray(at * CHUNK_BYTES, (at + 1) * CHUNK_BYTES),
    );
    const isFull = chunks
      .map((data) => call.write({ data }))
      .some((hasRoom) => !hasRoom);
    if (isFull) {
      await new Promise((resolve) => {
        call.once("drain", resolve);
        call.once("cancelled", resolve);
      });
    }
    if (call.cancelled) {
      return;
    }
  }
  call.end();
}

function describeError(error: unknown): { code: status; details: string } {
  const { code } = error as { code?: string };
  return {
    code: code === "ENOENT" ? status.NOT_FOUND : status.INTERNAL,
    details: String(error),
  };
}
