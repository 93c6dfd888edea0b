import { createServer } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { expect, test } from "vitest";
import type { CallReply } from "../requests/types.ts";
import { buildReply } from "./build_reply.ts";

const HEAD = { status: 200, headers: {}, rawHeaders: ["Seal", "s1"] } as const;
const CLOSE_DELIMITED = { isEventStream: false, isCloseDelimited: true };
const FRAMED = { isEventStream: false, isCloseDelimited: false };

/** Returns all bytes that a caller gets until its connection ends. */
async function readReply(
  answer: (reply: CallReply) => void,
  httpVersion = "1.1",
): Promise<string> {
  const server = createServer((_, res) => answer(buildReply(res)));
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = server.address() as AddressInfo;
  const socket = connect({ port, host: "127.0.0.1" });
  socket.write(
    `GET / HTTP/${httpVersion}\r\nHost: h\r\nConnection: close\r\n\r\n`,
  );
  const chunks: Buffer[] = [];
  socket.on("data", (chunk: Buffer) => chunks.push(chunk));
  const errors: string[] = [];
  socket.on("error", ({ message }) => errors.push(message));
  await new Promise((resolve) => {
    socket.once("close", resolve);
  });
  server.close();
  return [Buffer.concat(chunks).toString(), ...errors].join("");
}

test("an answer without length or chunks is not given any", async () => {
  const bytes = await readReply((reply) =>
    reply.sendResponse({ ...HEAD, ...CLOSE_DELIMITED }, Buffer.from("te")),
  );
  expect(bytes).toMatch(/^HTTP\/1.1 200 OK\r\nSeal: s1\r\n/);
  expect(bytes).not.toMatch(/content-length|transfer-encoding/i);
  expect(bytes.endsWith("\r\n\r\nte")).toBe(true);
});

// Guards against a stream that the end of this process cuts off and that looks
// complete, as the kernel ends its connection in order.
test("a stream without a length gets chunks, the last one at its end", async () => {
  const bytes = await readReply((reply) => {
    reply.startStream({ ...HEAD, ...CLOSE_DELIMITED, isEventStream: true });
    reply.writeStream(Buffer.from("id: 1\n\n"), () => undefined);
    reply.finishStream();
  });
  expect(bytes).toMatch(/transfer-encoding: chunked/i);
  expect(bytes.endsWith("id: 1\n\n\r\n0\r\n\r\n")).toBe(true);
});

test("an answer with a length keeps one", async () => {
  const bytes = await readReply((reply) =>
    reply.sendResponse({ ...HEAD, ...FRAMED }, Buffer.from("text")),
  );
  expect(bytes).toMatch(/content-length: 4/i);
});

test("a stream that breaks off has no last chunk", async () => {
  const bytes = await readReply((reply) => {
    reply.startStream({ ...HEAD, ...CLOSE_DELIMITED, isEventStream: true });
    reply.writeStream(Buffer.from("id: 1\n\n"), () => undefined);
    setTimeout(() => reply.closeConnection(), 20);
  });
  expect(bytes).toMatch(/transfer-encoding: chunked/i);
  expect(bytes.endsWith("id: 1\n\n\r\n")).toBe(true);
});

test("a stream in HTTP/1.0, which has no chunks, is reset where it breaks off", async () => {
  const bytes = await readReply((reply) => {
    reply.startStream({ ...HEAD, ...CLOSE_DELIMITED, isEventStream: true });
    reply.writeStream(Buffer.from("id: 1\n\n"), () => undefined);
    setTimeout(() => reply.closeConnection(), 20);
  }, "1.0");
  expect(bytes).not.toMatch(/transfer-encoding/i);
  expect(bytes).toContain("ECONNRESET");
});
