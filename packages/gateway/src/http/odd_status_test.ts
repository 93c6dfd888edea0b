import { expect, test } from "vitest";
import { sendUpload } from "../testing/send_upload.ts";
import { startRawUpstream } from "../testing/start_raw_upstream.ts";
import { startRoutesTo } from "../testing/start_routes_to.ts";

const STATUSES = ["000", "099", "99", "2e2", "-200", "0200", "", "100", "199"];
const FRAMINGS = ["Content-Length: 4\r\n", ""];
const CASES = STATUSES.flatMap((status) =>
  ["/plain/x", "/safe/x", "/stream/x"].flatMap((path) =>
    FRAMINGS.map((framing) => ({ status, path, framing })),
  ),
);

// Guards against bytes without a status of an answer that a caller gets as one.
test.each(CASES)(
  "a status of '$status' ($path, '$framing') is no answer to a caller",
  async ({ status, path, framing }) => {
    const upstream = await startRawUpstream((socket) => {
      socket.end(`HTTP/1.1 ${status} OK\r\n${framing}\r\ntext`);
    });
    const { listener, port } = await startRoutesTo(upstream.address);
    const body = Buffer.from("prompt");
    const { text } = await sendUpload(port, path, "length", body);
    expect(text).toMatch(/^HTTP\/1.1 50[24] /);
    listener.stop();
    await upstream.close();
  },
);
