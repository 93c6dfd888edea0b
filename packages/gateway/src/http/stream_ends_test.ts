import { createServer } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { expect, test } from "vitest";
import { runRequest } from "../testing/run_request.ts";
import { startRawUpstream } from "../testing/start_raw_upstream.ts";
import { buildReply } from "./build_reply.ts";

const EVENT = "id: 1\ndata: a\n\n";
const TYPE = "Content-Type: text/event-stream\r\n";
const LAST_CHUNK = "0\r\n\r\n";
const FRAMINGS = {
  none: `HTTP/1.1 200 OK\r\n${TYPE}\r\n${EVENT}`,
  chunks: `HTTP/1.1 200 OK\r\n${TYPE}Transfer-Encoding: chunked\r\n\r\nf\r\n${EVENT}\r\n`,
  length: `HTTP/1.1 200 OK\r\n${TYPE}Content-Length: 99\r\n\r\n${EVENT}`,
} as const;
/** How an upstream's answer ends after its first event. */
const ENDS = {
  order: (socket: Socket): void => {
    socket.end();
  },
  reset: (socket: Socket): void => {
    socket.resetAndDestroy();
  },
  silence: (): void => undefined,
} as const;
/** How this instance ends the stream by itself. */
type OwnEnd = "none" | "killed";

/** Returns all bytes that a caller gets of a stream that ends in some way. */
async function readStream(
  head: string,
  end: (socket: Socket) => void,
  ownEnd: OwnEnd = "none",
): Promise<string> {
  const upstream = await startRawUpstream((socket) => {
    socket.write(head, () => setTimeout(() => end(socket), 30));
  });
  const server = createServer((_, res) => {
    runRequest({
      addresses: [upstream.address],
      route: { isResumable: false, isIdempotent: false, timeoutMs: 600 },
      reply: buildReply(res),
    });
    if (ownEnd === "killed") {
      // What the kernel does for a process that is gone.
      setTimeout(() => res.socket?.end(), 100);
    }
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = server.address() as AddressInfo;
  const socket = connect({ port, host: "127.0.0.1" });
  socket.write("POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  const chunks: Buffer[] = [];
  socket.on("data", (chunk: Buffer) => chunks.push(chunk));
  socket.on("error", () => undefined);
  await new Promise((resolve) => {
    socket.once("close", resolve);
  });
  server.closeAllConnections();
  server.close();
  await upstream.close();
  return Buffer.concat(chunks).toString();
}

// Guards against a stream that is cut off and looks complete.
test.each([
  ["none", "reset"],
  ["none", "silence"],
  ["chunks", "order"],
  ["chunks", "reset"],
  ["chunks", "silence"],
  ["length", "order"],
  ["length", "reset"],
  ["length", "silence"],
] as const)(
  "an upstream's stream (framing: %s) that ends by %s has no last chunk",
  async (framing, end) => {
    const bytes = await readStream(FRAMINGS[framing], ENDS[end]);
    expect(bytes).toContain(EVENT);
    expect(bytes.endsWith(LAST_CHUNK)).toBe(false);
  },
);

test.each(["none", "chunks", "length"] as const)(
  "a stream (framing: %s) that the end of this process cuts has no last chunk",
  async (framing) => {
    const bytes = await readStream(FRAMINGS[framing], ENDS.silence, "killed");
    expect(bytes).toContain(EVENT);
    expect(bytes).toMatch(/transfer-encoding: chunked/i);
    expect(bytes.endsWith(LAST_CHUNK)).toBe(false);
  },
);

test("an upstream's stream without a length that ends in order is whole", async () => {
  const bytes = await readStream(FRAMINGS.none, ENDS.order);
  expect(bytes.endsWith(LAST_CHUNK)).toBe(true);
});
