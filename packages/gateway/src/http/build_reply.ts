import type { ServerResponse } from "node:http";
import type { ExchangeHead } from "../exchange/types.ts";
import type { CallError, CallReply } from "../requests/types.ts";

/**
 * Headers that apply to a single connection, or that the gateway sets itself.
 */
const HOP_BY_HOP_HEADERS = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "content-length",
]);
const MS_PER_SECOND = 1_000;

/**
 * Builds the reply that writes to a caller's connection; `endsConnection` is asked
 * when its head is written.
 */
export function buildReply(
  res: ServerResponse,
  endsConnection: () => boolean = () => false,
): CallReply {
  const isConnected = (): boolean => !res.destroyed && !res.writableEnded;
  const writeHead = (status: number, headers: string[]): void => {
    res.shouldKeepAlive &&= !endsConnection();
    res.writeHead(status, headers);
  };
  const send = (status: number, headers: string[], body: Buffer): void => {
    if (isConnected()) {
      writeHead(status, [...headers, "Content-Length", `${body.length}`]);
      res.end(body);
    }
  };
  /**
   * Nothing tells whether such an answer is whole, so the caller gets it with
   * the same framing: a length would say that it is.
   */
  const sendCloseDelimited = (
    { status, rawHeaders }: ExchangeHead,
    body: Buffer,
  ): void => {
    res.useChunkedEncodingByDefault = false;
    res.shouldKeepAlive = false;
    if (isConnected()) {
      writeHead(status, listForwardedHeaders(rawHeaders));
      res.end(body);
    }
  };
  return {
    isConnected,
    sendError: (error) =>
      send(error.status, listErrorHeaders(error), encodeError(error)),
    sendResponse: (head, body) => {
      if (head.isCloseDelimited) {
        sendCloseDelimited(head, body);
      } else {
        send(head.status, listForwardedHeaders(head.rawHeaders), body);
      }
    },
    onWritten: (callback) => {
      if (res.closed) {
        callback();
      } else {
        res.once("close", callback);
      }
    },
    // In chunks, whatever the upstream's framing: without the last chunk the end
    // of this process, which the kernel makes look like one in order, shows.
    startStream: ({ status, rawHeaders }) => {
      if (isConnected()) {
        writeHead(status, listForwardedHeaders(rawHeaders));
      }
    },
    writeStream: (bytes, onDrain) => {
      if (!isConnected() || res.write(bytes)) {
        return true;
      }
      res.once("drain", onDrain);
      return false;
    },
    finishStream: () => {
      if (isConnected()) {
        res.end();
      }
    },
    closeConnection: () => {
      // Without chunks, as HTTP/1.0 has it, an end in order would look complete.
      if (res.headersSent && !res.chunkedEncoding) {
        res.socket?.resetAndDestroy();
      }
      res.destroy();
    },
  };
}

/**
 * Lists the headers of an upstream that are forwarded, as alternating names and
 * values.
 */
function listForwardedHeaders(rawHeaders: readonly string[]): string[] {
  const pairs = rawHeaders
    .filter((_, index) => index % 2 === 0)
    .map((name, index) => [name, rawHeaders[index * 2 + 1] ?? ""] as const);
  const connectionHeaders = pairs
    .filter(([name]) => name.toLowerCase() === "connection")
    .flatMap(([, value]) => value.split(","))
    .map((name) => name.trim().toLowerCase());
  return pairs
    .filter(([name]) => !HOP_BY_HOP_HEADERS.has(name.toLowerCase()))
    .filter(([name]) => !connectionHeaders.includes(name.toLowerCase()))
    .flat();
}

function listErrorHeaders({ retryAfterMs }: CallError): string[] {
  const headers = ["Content-Type", "application/json"];
  return retryAfterMs === undefined
    ? headers
    : [...headers, "Retry-After", (retryAfterMs / MS_PER_SECOND).toFixed(3)];
}

function encodeError(fault: CallError): Buffer {
  const { code, message, run, retryAfterMs } = fault;
  const error = { code, message, run, retry_after_ms: retryAfterMs };
  return Buffer.from(JSON.stringify({ error }));
}
