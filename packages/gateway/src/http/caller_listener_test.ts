import { connect, type Socket } from "node:net";
import { expect, test } from "vitest";
import { startListener } from "../testing/start_listener.ts";

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
