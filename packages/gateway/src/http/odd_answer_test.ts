import { request } from "node:http";
import { CALL_SHAPES } from "@gooseberryline/core";
import { expect, test } from "vitest";
import { createEntry } from "../testing/create_entry.ts";
import { createView } from "../testing/create_view.ts";
import { JOB_ROUTE } from "../testing/job_route.ts";
import { startListener } from "../testing/start_listener.ts";
import { startRawUpstream } from "../testing/start_raw_upstream.ts";

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
  const view = createView();
  const route = {
    ...JOB_ROUTE,
    prefix: "/plain/",
    shape: CALL_SHAPES.plain,
    isIdempotent: false,
    isPublic: true,
    targets: [{ service: "s", weight: 1 }],
    timeoutMs: TIMEOUT_MS,
  };
  const limits = {
    headerBytes: 10_000,
    bodyBytes: 10_000,
    headerTimeoutMs: 1_000,
    idleTimeoutMs: 5_000,
  };
  const rest = { services: [], access: { kind: "open" } as const, limits };
  view.adoptConfig({ revision: 1, routes: [route], ...rest });
  view.directory.set(createEntry({ service: "s", address: upstream.address }));
  const { listener, port } = await startListener(view);
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
