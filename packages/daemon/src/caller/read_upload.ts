import type { IncomingMessage } from "node:http";
import busboy from "busboy";
import { HttpRefusal } from "./http_refusal.ts";

const MAX_FILE_BYTES = 536_870_912;

/** A file as uploaded by multipart. */
export type Upload = {
  readonly content: Buffer;
  readonly filename: string;
  readonly purpose: string;
};

/** Reads the one file and the purpose of a multipart upload. */
export function readUpload(req: IncomingMessage): Promise<Upload> {
  return new Promise((resolve, reject) => {
    const parser = createParser(req);
    const chunks: Buffer[] = [];
    const found = { filename: "", purpose: "batch", hasFile: false };
    parser.on("field", (name, value) => {
      if (name === "purpose") {
        found.purpose = value;
      }
    });
    parser.on("file", (_name, stream, { filename }) => {
      found.filename = filename ?? "";
      found.hasFile = true;
      stream.on("data", (chunk: Buffer) => chunks.push(chunk));
      stream.on("limit", () =>
        reject(
          new HttpRefusal(413, `the file exceeds ${MAX_FILE_BYTES} bytes`, {
            code: "file_too_large",
          }),
        ),
      );
    });
    parser.on("error", () => reject(refuseUpload("broken multipart body")));
    parser.on("close", () => {
      if (found.hasFile) {
        resolve({ ...found, content: Buffer.concat(chunks) });
      } else {
        reject(refuseUpload("the field `file` is missing"));
      }
    });
    req.on("aborted", () => reject(refuseUpload("the upload was cut off")));
    req.pipe(parser);
  });
}

function createParser(req: IncomingMessage): busboy.Busboy {
  try {
    const limits = { fileSize: MAX_FILE_BYTES, files: 1 };
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
