import { connect, type Socket } from "node:net";
import { expect, test } from "vitest";
import { ByteBudget } from "../intake/byte_budget.ts";
import { startServing } from "../testing/start_serving.ts";

const REQUEST_HEAD = "Host: h\r\nContent-Length: 0\r\n\r\n";
/** Room for one request and not for two. */
const BUDGET_BYTES = 12_000;

function write(socket: Socket, path: string): void {
  socket.write(`POST ${path} HTTP/1.1\r\n${REQUEST_HEAD}`);
}

function open(port: number) {
  const socket = connect(port, "127.0.0.1");
  const got = { text: "", isClosed: false };
  socket.on("data", (bytes) => {
    got.text += bytes.toString();
  });
  socket.once("close", () => {
    got.isClosed = true;
  });
  socket.on("error", () => undefined);
  return { socket, got };
}

// Guards against requests without a body that are served whether there is room or not.
test("a request without a body is refused as not run where there is no room", async () => {
  const budget = new ByteBudget(BUDGET_BYTES);
  const { port, upstream, close } = await startServing(5_000, budget);
  const first = open(port);
  write(first.socket, "/slow/x");
  await expect.poll(() => upstream.seen.length).toBe(1);
  const second = open(port);
  write(second.socket, "/quick/x");
  await expect.poll(() => second.got.isClosed).toBe(true);
  expect(second.got.text).toContain(" 503 ");
  expect(second.got.text).toContain('"run":"not run"');
  expect(second.got.text).toContain("Retry-After");
  await expect.poll(() => first.got.text).toContain(" 200 ");
  expect(upstream.seen).toHaveLength(1);
  const third = open(port);
  write(third.socket, "/quick/x");
  await expect.poll(() => third.got.text).toContain(" 200 ");
  await close();
});

// Guards against requests ahead for which others give way that are not gone yet.
test("a request ahead makes no other give way, and its connection is closed", async () => {
  const budget = new ByteBudget(2 * BUDGET_BYTES);
  const { port, upstream, listener, close } = await startServing(5_000, budget);
  const first = open(port);
  write(first.socket, "/slow/x");
  write(first.socket, "/quick/x");
  await expect.poll(() => listener.countInFlight()).toBe(2);
  const second = open(port);
  write(second.socket, "/slow/x");
  // The request that waits on the first connection has made way for this one.
  await expect.poll(() => first.got.isClosed).toBe(true);
  write(second.socket, "/slow/x");
  await expect.poll(() => listener.countInFlight()).toBe(2);
  write(second.socket, "/slow/x");
  await expect.poll(() => second.got.isClosed).toBe(true);
  await expect.poll(() => budget.total).toBe(0);
  expect(upstream.seen).toHaveLength(2);
  await close();
});
