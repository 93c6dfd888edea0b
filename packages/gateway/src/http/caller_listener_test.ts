import { connect, type Socket } from "node:net";
import { expect, test } from "vitest";
import { startListener } from "../testing/start_listener.ts";
import { startServing } from "../testing/start_serving.ts";

const HOST = "127.0.0.1";
const REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/** Sends a request and returns the first bytes of the response. */
function sendRequest(socket: Socket): Promise<string> {
  return new Promise((resolve, reject) => {
    socket.once("data", (bytes) => resolve(bytes.toString()));
    socket.once("close", () => reject(new Error("closed without an answer")));
    socket.write(REQUEST);
  });
}

// Guards against requests cut off at the end of a shutdown: one that arrived on
// a kept-alive connection 6 s after the stop began was still running when the
// grace period ended.
test("after the linger time no request is accepted on a kept-alive connection", async () => {
  const { listener, port } = await startListener();
  const keptAlive = connect(port, HOST);
  expect(await sendRequest(keptAlive)).toContain("503");
  const closed = new Promise<string>((resolve) => {
    keptAlive.once("close", () => resolve("closed"));
  });
  listener.stopAccepting();
  listener.closeIdle(0);
  expect(await closed).toBe("closed");
  const fresh = connect(port, HOST);
  const refused = new Promise<string>((resolve) => {
    fresh.once("error", () => resolve("refused"));
  });
  expect(await refused).toBe("refused");
  listener.stop();
});

test("during a shutdown each response closes its connection", async () => {
  const { listener, port } = await startListener();
  const keptAlive = connect(port, HOST);
  expect(await sendRequest(keptAlive)).not.toContain("Connection: close");
  listener.startDraining({ noticeEndMs: 0, endMs: 0 });
  expect(await sendRequest(keptAlive)).toContain("Connection: close");
  listener.stop();
});

/** Sends a request, and another this long after its answer; counts the answers. */
async function sendTwice(port: number, apartMs: number): Promise<number> {
  const request =
    "POST /short/x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
  const socket = connect(port, HOST);
  const state = { text: "" };
  socket.on("error", () => undefined);
  socket.on("data", (bytes) => {
    state.text += bytes.toString();
  });
  const closed = new Promise((resolve) => socket.once("close", resolve));
  socket.write(request);
  await new Promise((resolve) => socket.once("data", resolve));
  const timer = setTimeout(() => socket.write(request), apartMs);
  await closed;
  clearTimeout(timer);
  return state.text.match(/HTTP\/1.1 200 /g)?.length ?? 0;
}

// Guards against a request that is passed on though its connection closes as idle.
test("a request that comes as its connection closes as idle is answered or not passed on", async () => {
  const { port, upstream, close } = await startServing(100);
  const startedMs = performance.now();
  await sendTwice(port, 10_000);
  const idleMs = performance.now() - startedMs;
  const answers = await Promise.all(
    Array.from({ length: 120 }, async (_, index) => {
      await new Promise((resolve) => setTimeout(resolve, index * 10));
      // From a little before the connection is closed to a little after.
      return sendTwice(port, idleMs - 100 + (index % 75) * 2);
    }),
  );
  const answered = answers.reduce((sum, count) => sum + count, 1);
  expect(answered).toBe(upstream.seen.length);
  expect(new Set(answers)).toEqual(new Set([1, 2]));
  await close();
}, 10_000);
