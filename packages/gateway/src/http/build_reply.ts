import type { ServerResponse } from "node:http";
import type { CallFault, CallReply } from "../requests/types.ts";

/** Headers that concern one connection only, or that are set anew here. */
const OWN_HEADERS = new Set([
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

/** Builds the reply that writes to a caller's connection. */
export function buildReply(res: ServerResponse): CallReply {
  const isOpen = (): boolean => !res.destroyed && !res.writableEnded;
  const send = (status: number, headers: string[], body: Buffer): void => {
    if (isOpen()) {
      res.writeHead(status, [...headers, "Content-Length", `${body.length}`]);
      res.end(body);
    }
  };
  return {
    isOpen,
    sendFault: (fault) => send(fault.status, listHeaders(fault), encode(fault)),
    sendWhole: ({ status, rawHeaders }, body) =>
      send(status, keepHeaders(rawHeaders), body),
    beginStream: ({ status, rawHeaders }) => {
      if (isOpen()) {
        res.writeHead(status, keepHeaders(rawHeaders));
      }
    },
    writeStream: (bytes, onRoom) => {
      if (!isOpen() || res.write(bytes)) {
        return true;
      }
      res.once("drain", onRoom);
      return false;
    },
    endStream: () => {
      if (isOpen()) {
        res.end();
      }
    },
    breakOff: () => {
      res.destroy();
    },
  };
}

/** Keeps an upstream's headers, as names and values in turn. */
function keepHeaders(rawHeaders: readonly string[]): string[] {
  const named = rawHeaders
    .filter((_, index) => index % 2 === 0)
    .map((name, index) => [name, rawHeaders[index * 2 + 1] ?? ""] as const);
  const listed = named
    .filter(([name]) => name.toLowerCase() === "connection")
    .flatMap(([, value]) => value.split(","))
    .map((name) => name.trim().toLowerCase());
  return named
    .filter(([name]) => !OWN_HEADERS.has(name.toLowerCase()))
    .filter(([name]) => !listed.includes(name.toLowerCase()))
    .flat();
}

function listHeaders({ retryAfterMs }: CallFault): string[] {
  const headers = ["Content-Type", "application/json"];
  return retryAfterMs === undefined
    ? headers
    : [...headers, "Retry-After", (retryAfterMs / MS_PER_SECOND).toFixed(3)];
}

function encode(fault: CallFault): Buffer {
  const { code, message, run, retryAfterMs } = fault;
  const error = { code, message, run, retry_after_ms: retryAfterMs };
  return Buffer.from(JSON.stringify({ error }));
}
