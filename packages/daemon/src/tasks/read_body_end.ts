import type { IncomingMessage } from "node:http";
import { type BodyEnd, findBodyEnd } from "@gooseberryline/core";

/** Reads how the body of an answer to a request of this method ends. */
export function readBodyEnd(
  { headers, statusCode }: IncomingMessage,
  method: string,
): BodyEnd {
  return findBodyEnd({
    method,
    status: statusCode ?? 0,
    contentLength: headers["content-length"],
    transferEncoding: headers["transfer-encoding"],
  });
}
