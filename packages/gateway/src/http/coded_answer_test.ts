import { expect, test } from "vitest";
import { sendUpload } from "../testing/send_upload.ts";
import { startRawUpstream } from "../testing/start_raw_upstream.ts";
import { startRoutesTo } from "../testing/start_routes_to.ts";

const EVENT = "id: 1\ndata: a\n\n";
const CHUNKS = `${EVENT.length.toString(16)}\r\n${EVENT}\r\n0\r\n\r\n`;
const PATHS = ["/plain/x", "/safe/x", "/stream/x"];

/** Calls a path whose upstream sends this head and body, and ends in order. */
async function sendToUpstream(path: string, fields: string, body: string) {
  const isStream = path.startsWith("/stream/");
  const type = isStream ? "text/event-stream" : "text/plain";
  const head = `HTTP/1.1 200 OK\r\nContent-Type: ${type}\r\n${fields}\r\n`;
  const upstream = await startRawUpstream((socket) => {
    socket.end(`${head}${body}`);
  });
  const { listener, port } = await startRoutesTo(upstream.address);
  const { text } = await sendUpload(port, path, "length", Buffer.from("x"));
  listener.stop();
  await upstream.close();
  return text;
}

// Guards against a body that is not what its head, as the caller gets it, says.
test.each([
  ["gzip", EVENT],
  ["gzip, chunked", CHUNKS],
  ["chunked, chunked", CHUNKS],
  ["chunked, identity", CHUNKS],
  ["chunked,", CHUNKS],
  ["chunked;q=1", CHUNKS],
  ["chunked\t", CHUNKS],
])("a body coded as %j is no answer to a caller", async (coding, body) => {
  const fields = `Transfer-Encoding: ${coding}\r\n`;
  const texts = await Promise.all(
    PATHS.map((path) => sendToUpstream(path, fields, body)),
  );
  texts.forEach((text) => {
    expect(text).not.toMatch(/\n0\r\n\r\n$/);
    expect(text).not.toContain("id: 1");
  });
});

test.each([
  ["Transfer-Encoding: chunked\r\n", CHUNKS],
  ["Transfer-Encoding: Chunked\r\n", CHUNKS],
  ["Transfer-Encoding:\tchunked  \r\n", CHUNKS],
  ["Transfer-Encoding: identity, chunked\r\n", CHUNKS],
  ["Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n", CHUNKS],
  ["Transfer-Encoding: identity\r\n", EVENT],
  ["Transfer-Encoding:\r\n", EVENT],
  ["Connection: close\r\n", EVENT],
  [`Content-Length: ${EVENT.length}\r\n`, EVENT],
])("a body framed by %j is an answer", async (fields, body) => {
  const texts = await Promise.all(
    PATHS.map((path) => sendToUpstream(path, fields, body)),
  );
  texts.forEach((text) => {
    expect(text).toMatch(/^HTTP\/1\.1 200 /);
    expect(text).toContain(EVENT);
  });
});
