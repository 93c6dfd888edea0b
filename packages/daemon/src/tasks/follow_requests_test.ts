import { createServer } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { expect, test } from "vitest";
import { followRequests } from "./follow_requests.ts";

const HOST = "127.0.0.1";
const SLOW_MS = 300;
/** More than the kernel's buffers hold for a caller that doesn't read. */
const LARGE_BYTES = 8_000_000;
const LIMIT_MS = 5_000;

/** A drained listener whose answers to `/large` are large, and to others slow. */
async function startServer() {
  const seen: string[] = [];
  const server = createServer((req, res) => {
    seen.push(req.url ?? "");
    const isLarge = req.url === "/large";
    if (req.url === "/stream") {
      res.flushHeaders();
    }
    const text = isLarge ? Buffer.alloc(LARGE_BYTES, "x") : "text";
    setTimeout(() => res.end(text), isLarge ? 0 : SLOW_MS);
  });
  const tracking = followRequests(server);
  await new Promise<void>((resolve) => {
    server.listen(0, HOST, resolve);
  });
  const { port } = server.address() as AddressInfo;
  return { seen, port, ...tracking };
}

function writeRequest(socket: Socket, path: string): void {
  socket.write(`GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`);
}

function collectBytes(socket: Socket) {
  const state = { text: "", isClosed: false };
  socket.on("data", (bytes) => {
    state.text += bytes.toString();
  });
  socket.on("error", () => undefined);
  socket.once("close", () => {
    state.isClosed = true;
  });
  return state;
}

// Guards against a large answer cut off because its caller reads slowly.
test("the close of a listener cuts no answer that is still being read", async () => {
  const { port, seen, close } = await startServer();
  const socket = connect(port, HOST);
  writeRequest(socket, "/large");
  await expect.poll(() => seen.length).toBe(1);
  await new Promise((resolve) => setTimeout(resolve, SLOW_MS));
  const closed = close(LIMIT_MS);
  await new Promise((resolve) => setTimeout(resolve, SLOW_MS));
  const got = collectBytes(socket);
  await expect
    .poll(() => got.isClosed, { timeout: LIMIT_MS + 1_000 })
    .toBe(true);
  expect(got.text.length).toBeGreaterThan(LARGE_BYTES);
  await closed;
}, 10_000);

// Guards against a request behind another that is run and then cut by the end of the
// connection.
test("requests that were sent together are all answered in a drain", async () => {
  const { port, seen, startDrain, close } = await startServer();
  const socket = connect(port, HOST);
  const got = collectBytes(socket);
  writeRequest(socket, "/a");
  writeRequest(socket, "/b");
  await expect.poll(() => seen.length).toBe(2);
  startDrain();
  writeRequest(socket, "/c");
  await expect.poll(() => got.isClosed, { timeout: 2_000 }).toBe(true);
  expect(got.text.match(/HTTP\/1.1 200 /g)).toHaveLength(3);
  await close(LIMIT_MS);
});

// Guards against a request sent at once after an answer that kept the connection, and
// cut by the close of the listener.
test("what is run on a kept connection while a listener closes is answered", async () => {
  const { port, seen, startDrain, close } = await startServer();
  const sockets = Array.from({ length: 30 }, () => connect(port, HOST));
  const got = sockets.map((socket) => {
    const state = collectBytes(socket);
    const sent = { count: 1 };
    socket.on("data", () => {
      if (state.text.match(/text/g)?.length === sent.count) {
        sent.count += 1;
        writeRequest(socket, "/stream");
      }
    });
    return state;
  });
  sockets.forEach((socket, index) => {
    setTimeout(() => writeRequest(socket, "/stream"), index * 15);
  });
  await new Promise((resolve) => setTimeout(resolve, 2 * SLOW_MS));
  startDrain();
  await close(LIMIT_MS);
  await expect.poll(() => got.every(({ isClosed }) => isClosed)).toBe(true);
  const answers = got.flatMap(({ text }) => text.match(/text/g) ?? []);
  expect(answers).toHaveLength(seen.length);
}, 10_000);

// Guards against requests that stay in the count when their caller is gone, so that a
// drain waits for them until its end.
test("requests that were sent together are dropped with their caller", async () => {
  const { port, seen, countInFlight, close } = await startServer();
  const socket = connect(port, HOST);
  writeRequest(socket, "/a");
  writeRequest(socket, "/b");
  await expect.poll(() => seen.length).toBe(2);
  socket.destroy();
  await expect.poll(countInFlight).toBe(0);
  await close(LIMIT_MS);
});
