import { request } from "node:http";
import { expect, test } from "vitest";
import { startRawUpstream } from "../testing/start_raw_upstream.ts";
import { startRoutesTo } from "../testing/start_routes_to.ts";

/** The route's time, much more than an answer takes. */
const TIMEOUT_MS = 5_000;

function sendCall(port: number): Promise<number | string> {
  const options = { port, path: "/plain/x", method: "POST" };
  return new Promise((resolve) => {
    request({ ...options, headers: { host: "h" } }, (res) => {
      res.resume().on("end", () => resolve(res.statusCode ?? 0));
    })
      .on("error", ({ message }) => resolve(message))
      .end();
  });
}

/** Calls a route whose upstream writes these bytes. */
async function sendToUpstream(bytes: string) {
  const upstream = await startRawUpstream((socket) => {
    socket.write(Buffer.from(bytes, "latin1"));
  });
  const { address } = upstream;
  const fields = { timeoutMs: TIMEOUT_MS };
  const { listener, port } = await startRoutesTo(address, fields);
  const startedMs = performance.now();
  const end = await sendCall(port);
  const tookMs = performance.now() - startedMs;
  listener.stop();
  await upstream.close();
  return { end, tookMs };
}

const EMPTY = "Content-Length: 0\r\n\r\n";

// Guards against an answer that can't be written, which threw and left its caller
// waiting until the request's time was up.
test.each([
  ["a status of 000", `HTTP/1.1 000 Odd\r\n${EMPTY}`],
  ["a status of 099", `HTTP/1.1 099 Odd\r\n${EMPTY}`],
  [
    "a control character in a value",
    `HTTP/1.1 404 No\r\nX-A: \u007f\r\n${EMPTY}`,
  ],
  ["bytes over 127 in a value", `HTTP/1.1 404 No\r\nX-A: \u00e9\r\n${EMPTY}`],
  ["a folded value", `HTTP/1.1 404 No\r\nX-A: a\r\n b\r\n${EMPTY}`],
  ["an empty value", `HTTP/1.1 404 No\r\nX-A:\r\n${EMPTY}`],
  ["a status of 999", `HTTP/1.1 999 Odd\r\n${EMPTY}`],
])("a caller hears at once of an answer with %s", async (_, bytes) => {
  const { end, tookMs } = await sendToUpstream(bytes);
  expect(end).toBeTypeOf("number");
  expect(tookMs).toBeLessThan(TIMEOUT_MS / 2);
});
