import type { IncomingMessage } from "node:http";
import type { Readable } from "node:stream";
import busboy from "busboy";
import { FileStore } from "../jobs/file_store.ts";
import { HttpRefusal } from "./http_refusal.ts";

const MAX_FILE_BYTES = 536_870_912;
const MAX_FIELD_BYTES = 4_096;

/**
 * A file received by multipart upload that is staged on the local disk but not
 * yet committed.
 */
export type Upload = {
  readonly id: string;
  readonly bytes: number;
  readonly filename: string;
  readonly purpose: string;
};

type UploadState = {
  filename: string;
  purpose: string;
  isTooLarge: boolean;
  staged: Promise<number> | undefined;
};

/**
 * Streams the single file of a multipart upload to disk and reads its purpose.
 * Deletes the staged data if the upload fails.
 */
export async function readUpload(
  req: IncomingMessage,
  files: FileStore,
  maxBytes = MAX_FILE_BYTES,
): Promise<Upload> {
  const id = FileStore.createId();
  try {
    const upload = await collectUpload(req, { id, files, maxBytes });
    const { filename, purpose } = upload;
    const bytes = (await upload.staged) ?? 0;
    if (upload.isTooLarge) {
      throw new HttpRefusal(413, `the file exceeds ${maxBytes} bytes`, {
        code: "file_too_large",
      });
    }
    return { id, bytes, filename, purpose };
  } catch (error) {
    await files.drop(id);
    throw error;
  }
}

function collectUpload(
  req: IncomingMessage,
  {
    id,
    files,
    maxBytes,
  }: {
    readonly id: string;
    readonly files: FileStore;
    readonly maxBytes: number;
  },
): Promise<UploadState> {
  return new Promise((resolve, reject) => {
    const parser = createParser(req, maxBytes);
    const upload: UploadState = {
      filename: "",
      purpose: "batch",
      isTooLarge: false,
      staged: undefined,
    };
    const fail = (message: string): void => {
      parser.destroy();
      const refusal = refuseUpload(message);
      (upload.staged ?? Promise.resolve()).then(
        () => reject(refusal),
        () => reject(refusal),
      );
    };
    parser.on("field", (name, value) => {
      upload.purpose = name === "purpose" ? value : upload.purpose;
    });
    parser.on("file", (_name, stream, { filename }) => {
      upload.filename = filename ?? "";
      stream.on("limit", () => {
        upload.isTooLarge = true;
      });
      upload.staged = files.stage(id, stream as Readable);
      upload.staged.catch(() => fail("the upload could not be stored"));
    });
    parser.on("error", () => fail("broken multipart body"));
    parser.on("close", () => {
      if (upload.staged === undefined) {
        reject(refuseUpload("the field `file` is missing"));
      } else {
        resolve(upload);
      }
    });
    req.on("aborted", () => fail("the upload was cut off"));
    req.pipe(parser);
  });
}

function createParser(req: IncomingMessage, maxBytes: number): busboy.Busboy {
  try {
    const limits = { fileSize: maxBytes, files: 1, fieldSize: MAX_FIELD_BYTES };
    return busboy({ headers: req.headers, limits });
  } catch {
    throw refuseUpload("a multipart body is needed");
  }
}

function refuseUpload(message: string): HttpRefusal {
  return new HttpRefusal(400, message, {
    code: "invalid_upload",
    step: "parse",
  });
}
