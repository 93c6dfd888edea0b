import { CALL_SHAPES } from "@gooseberryline/core";
import { expect, test } from "vitest";
import { createEntry } from "../testing/create_entry.ts";
import { createView } from "../testing/create_view.ts";
import { JOB_ROUTE } from "../testing/job_route.ts";
import { sendUpload } from "../testing/send_upload.ts";
import { startListener } from "../testing/start_listener.ts";
import { startRawUpstream } from "../testing/start_raw_upstream.ts";

const STATUSES = ["000", "099", "99", "2e2", "-200", "0200", "", "100", "199"];
const FRAMINGS = ["Content-Length: 4\r\n", ""];
const ROUTE = {
  ...JOB_ROUTE,
  isIdempotent: false,
  isPublic: true,
  targets: [{ service: "s", weight: 1 }],
  timeoutMs: 1_000,
};

const CASES = STATUSES.flatMap((status) =>
  ["/plain/x", "/stream/x"].flatMap((path) =>
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
    const view = createView();
    view.adoptConfig({
      revision: 1,
      routes: [
        { ...ROUTE, prefix: "/plain/", shape: CALL_SHAPES.plain },
        { ...ROUTE, name: "s", prefix: "/stream/", shape: CALL_SHAPES.stream },
      ],
      services: [],
      access: { kind: "open" },
      limits: {
        headerBytes: 10_000,
        bodyBytes: 10_000,
        headerTimeoutMs: 1_000,
        idleTimeoutMs: 5_000,
      },
    });
    const { address } = upstream;
    view.directory.set(createEntry({ service: "s", address }));
    const { listener, port } = await startListener(view);
    const body = Buffer.from("prompt");
    const { text } = await sendUpload(port, path, "length", body);
    expect(text).toMatch(/^HTTP\/1.1 50[24] /);
    listener.stop();
    await upstream.close();
  },
);
