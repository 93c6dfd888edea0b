import { connect, type Socket } from "node:net";
import { expect, test } from "vitest";
import { SERVING } from "../testing/serving.ts";
import { startServing } from "../testing/start_serving.ts";

const HOST = "127.0.0.1";

function buildRequest(path: string): string {
  return `POST ${path} HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n`;
}

function writeRequest(socket: Socket, path: string): void {
  socket.write(buildRequest(path));
}

/** Collects what comes on a connection. */
function collectBytes(socket: Socket) {
  const state = {
    text: "",
    isClosed: false,
    countAnswers: () => state.text.match(/HTTP\/1.1 \d\d\d /g)?.length ?? 0,
  };
  socket.on("data", (bytes) => {
    state.text += bytes.toString();
  });
  socket.once("close", () => {
    state.isClosed = true;
  });
  socket.on("error", () => undefined);
  return state;
}

/** Sends the next request as soon as an answer is whole, as callers may. */
function sendAtOnceAfter(socket: Socket, isWhole: () => boolean, path: string) {
  const send = (): void => {
    if (isWhole()) {
      socket.off("data", send);
      writeRequest(socket, path);
    }
  };
  socket.on("data", send);
}

// Guards against requests taken on a kept connection late in the grace, whose
// stream had begun before the stop, and cut at the end of it.
test("a stream that began before a stop is finished, then its connection closed", async () => {
  const { port, listener, beginLateStop, close } = await startServing();
  const socket = connect(port, HOST);
  const got = collectBytes(socket);
  writeRequest(socket, "/stream/x");
  await expect.poll(() => got.text).toContain("data: a");
  beginLateStop(1_000);
  await expect.poll(() => got.text.endsWith("0\r\n\r\n")).toBe(true);
  await expect.poll(() => listener.isBusy(0)).toBe(false);
  listener.closeIdle(0);
  await expect.poll(() => got.isClosed).toBe(true);
  expect(listener.countInFlight()).toBe(0);
  await close();
});

// Guards against a request that is passed on though what is left of the grace is
// shorter than it may take.
test("a request that may outlast the stop is refused as not run", async () => {
  const { port, upstream, beginLateStop, close } = await startServing();
  const socket = connect(port, HOST);
  const got = collectBytes(socket);
  beginLateStop(1_000);
  writeRequest(socket, "/slow/x");
  await expect.poll(() => got.isClosed).toBe(true);
  expect(got.text).toMatch(/^HTTP\/1.1 503 /);
  expect(got.text).toContain("not run");
  expect(upstream.seen).toHaveLength(0);
  await close();
});

// Guards against refusals of what could still be finished.
test("a request that ends before the stop does is served", async () => {
  const { port, beginLateStop, close } = await startServing();
  const socket = connect(port, HOST);
  const got = collectBytes(socket);
  beginLateStop(1_000);
  writeRequest(socket, "/short/x");
  await expect.poll(() => got.isClosed).toBe(true);
  expect(got.text).toMatch(/^HTTP\/1.1 200 /);
  await close();
});

// Guards against connections that end without an answer at the end of the grace.
test("a request in flight at the end of a stop gets an answer", async () => {
  const { port, listener, close } = await startServing();
  const socket = connect(port, HOST);
  const got = collectBytes(socket);
  writeRequest(socket, "/slow/x");
  await expect.poll(() => listener.countInFlight()).toBe(1);
  listener.expireAll();
  await expect.poll(() => got.text).toMatch(/^HTTP\/1.1 504 /);
  expect(got.text).toContain("may have run");
  await close();
});

// Guards against a request that was passed on from a connection which had been
// ended, where no answer could be written.
test.each([
  { leftMs: 10_000, status: 200, passedOn: 2 },
  { leftMs: 1_000, status: 503, passedOn: 1 },
])(
  "a request sent at once after a stream is answered $status",
  async ({ leftMs, status, passedOn }) => {
    const { port, upstream, beginLateStop, close } = await startServing();
    const socket = connect(port, HOST);
    const got = collectBytes(socket);
    sendAtOnceAfter(socket, () => got.text.endsWith("0\r\n\r\n"), "/slow/x");
    writeRequest(socket, "/stream/x");
    await expect.poll(() => got.text).toContain("data: a");
    beginLateStop(leftMs);
    await expect.poll(() => got.isClosed).toBe(true);
    expect(got.text.split("0\r\n\r\n")[1]).toMatch(
      new RegExp(`^HTTP/1.1 ${status} [\\s\\S]*Connection: close`),
    );
    expect(upstream.seen).toHaveLength(passedOn);
    await close();
  },
);

// Guards against callers who aren't told that their connection ends.
test("a request in flight at the signal is answered with an end of its connection", async () => {
  const { port, listener, beginLateStop, close } = await startServing();
  const socket = connect(port, HOST);
  const got = collectBytes(socket);
  writeRequest(socket, "/slow/x");
  await expect.poll(() => listener.countInFlight()).toBe(1);
  beginLateStop(10_000);
  await expect.poll(() => got.isClosed).toBe(true);
  expect(got.text).toMatch(/^HTTP\/1.1 200 [\s\S]*Connection: close/);
  await close();
});

// Guards against a request behind another that is passed on and then cut by the
// end of the connection.
test("requests that were sent together are all answered", async () => {
  const { port, upstream, listener, beginLateStop, close } =
    await startServing();
  const socket = connect(port, HOST);
  const got = collectBytes(socket);
  writeRequest(socket, "/slow/x");
  writeRequest(socket, "/slow/x");
  await expect.poll(() => listener.countInFlight()).toBe(2);
  beginLateStop(10_000);
  writeRequest(socket, "/slow/x");
  await expect.poll(() => got.isClosed, { timeout: 3_000 }).toBe(true);
  expect(got.countAnswers()).toBe(3);
  expect(upstream.seen).toHaveLength(3);
  await close();
});

// Guards against a request that gets its whole time once more when its turn comes.
test("a request's time runs while it waits behind another", async () => {
  const { port, upstream, close } = await startServing();
  const socket = connect(port, HOST);
  const got = collectBytes(socket);
  socket.write(buildRequest("/slow/x") + buildRequest("/short/x"));
  await expect.poll(() => got.countAnswers()).toBe(2);
  expect(got.text).toMatch(/200 OK[\s\S]*HTTP\/1.1 50[34] /);
  expect(upstream.seen).toHaveLength(1);
  socket.destroy();
  await close();
});

// Guards against a request that stays in the count when its caller is gone, so
// that a stop waits for it until the end.
test("requests that were sent together are dropped with their caller", async () => {
  const { port, upstream, listener, close } = await startServing();
  const socket = connect(port, HOST);
  collectBytes(socket);
  writeRequest(socket, "/slow/x");
  writeRequest(socket, "/slow/x");
  await expect.poll(() => upstream.seen.length).toBe(1);
  socket.destroy();
  await expect.poll(() => listener.countInFlight()).toBe(0);
  expect(upstream.seen).toHaveLength(1);
  await close();
});

// Guards against a large answer cut off because its caller reads slowly.
test("the end of accepting cuts no answer that is still being read", async () => {
  const { port, upstream, listener, close } = await startServing();
  const socket = connect(port, HOST);
  writeRequest(socket, "/large/x");
  await expect.poll(() => upstream.seen.length).toBe(1);
  await new Promise((resolve) => setTimeout(resolve, SERVING.SLOW_MS));
  listener.stopAccepting();
  const got = collectBytes(socket);
  await expect
    .poll(() => got.text.length, { timeout: 5_000 })
    .toBeGreaterThan(SERVING.LARGE_BYTES);
  socket.destroy();
  await close();
});

// Guards against an answer that is destroyed by bytes which no one reads.
test("a refusal reaches a caller that is still sending its body", async () => {
  const { port, beginLateStop, close } = await startServing();
  const socket = connect(port, HOST);
  const got = collectBytes(socket);
  beginLateStop(10_000);
  const lengthBytes = 9_000;
  socket.write(
    `POST /none/x HTTP/1.1\r\nHost: h\r\nContent-Length: ${lengthBytes}\r\n\r\n`,
  );
  await expect.poll(() => got.text).toMatch(/^HTTP\/1.1 404 /);
  expect(got.isClosed).toBe(false);
  socket.write("x".repeat(lengthBytes));
  writeRequest(socket, "/short/x");
  await expect.poll(() => got.isClosed).toBe(true);
  expect(got.text).toMatch(/HTTP\/1.1 200 [\s\S]*Connection: close/);
  await close();
});

// Guards against requests that are taken in the last steps of a stop, and cut.
test("when a stop is over all requests are refused", async () => {
  const { port, upstream, listener, close } = await startServing();
  const [late, whole] = [connect(port, HOST), connect(port, HOST)];
  const [gotLate, gotWhole] = [collectBytes(late), collectBytes(whole)];
  late.write("POST /short/x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx");
  await expect.poll(() => listener.countInFlight()).toBe(1);
  listener.refuseAll();
  late.write("x");
  writeRequest(whole, "/short/x");
  await expect.poll(() => gotLate.isClosed && gotWhole.isClosed).toBe(true);
  expect(gotLate.text).toMatch(/^HTTP\/1.1 503 /);
  expect(gotWhole.text).toMatch(/^HTTP\/1.1 503 /);
  expect(upstream.seen).toHaveLength(0);
  await close();
});

// Guards against a kept connection on which nothing more is heard.
test("a connection goes on after a body that is too large", async () => {
  const { port, close } = await startServing();
  const socket = connect(port, HOST);
  const got = collectBytes(socket);
  const body = "x".repeat(200_000);
  socket.write(
    `POST /short/x HTTP/1.1\r\nHost: h\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
  );
  await expect.poll(() => got.text).toMatch(/^HTTP\/1.1 413 /);
  writeRequest(socket, "/short/x");
  await expect.poll(() => got.text).toMatch(/HTTP\/1.1 200 /);
  socket.destroy();
  await close();
});
