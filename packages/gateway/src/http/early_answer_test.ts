import { CALL_SHAPES } from "@gooseberryline/core";
import { expect, test } from "vitest";
import { createEntry } from "../testing/create_entry.ts";
import { createView } from "../testing/create_view.ts";
import { JOB_ROUTE } from "../testing/job_route.ts";
import { sendUpload, type UploadForm } from "../testing/send_upload.ts";
import { startCuttingUpstream } from "../testing/start_cutting_upstream.ts";
import { startListener } from "../testing/start_listener.ts";

const BODY = Buffer.alloc(2_000_000, "x");
const LONG = "y".repeat(3_000_000);
const STREAM_TYPE = "Content-Type: text/event-stream\r\n";
const EVENT = "id: 1\ndata: a\n\n";
const FORMS: readonly UploadForm[] = [
  "length",
  "chunks",
  "expecting",
  "slow",
  "http/1.0",
];

const ROUTE = {
  ...JOB_ROUTE,
  isIdempotent: false,
  isPublic: true,
  targets: [{ service: "s", weight: 1 }],
  timeoutMs: 3_000,
  maxAttempts: 2,
};

/** Starts a listener with a plain and a stream route to this upstream. */
async function startGateway(address: string) {
  const view = createView();
  const limits = {
    headerBytes: 10_000,
    bodyBytes: 4_000_000,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 5_000,
  };
  const routes = [
    { ...ROUTE, prefix: "/plain/", shape: CALL_SHAPES.plain },
    { ...ROUTE, name: "s", prefix: "/stream/", shape: CALL_SHAPES.stream },
  ];
  const rest = { services: [], access: { kind: "open" } as const, limits };
  view.adoptConfig({ revision: 1, routes, ...rest });
  view.directory.set(createEntry({ service: "s", address }));
  return startListener(view);
}

/** Whether bytes on a connection are a success that looks whole to its caller. */
function isWholeSuccess(text: string, isOrderly: boolean): boolean {
  const final = text.replace(/^HTTP\/1.1 100 Continue\r\n\r\n/, "");
  const [head = "", ...rest] = final.split("\r\n\r\n");
  if (!/^HTTP\/1.1 2\d\d/.test(head)) {
    return false;
  }
  if (/transfer-encoding: chunked/i.test(head)) {
    return final.endsWith("0\r\n\r\n");
  }
  const length = /content-length: (\d+)/i.exec(head)?.[1];
  return length === undefined
    ? isOrderly
    : rest.join("\r\n\r\n").length === Number(length);
}

const ANSWERS = [
  ["a part of a body", `HTTP/1.1 200 OK\r\n\r\npart`],
  ["a long part of a body", `HTTP/1.1 200 OK\r\n\r\n${LONG}`],
  ["an event", `HTTP/1.1 200 OK\r\n${STREAM_TYPE}\r\n${EVENT}`],
] as const;

const CASES = FORMS.flatMap((form) =>
  ["/plain/x", "/stream/x"].flatMap((path) =>
    ANSWERS.flatMap(([name, answer]) =>
      [20, 150].map((afterMs) => ({ form, path, name, answer, afterMs })),
    ),
  ),
);

// Guards against the part of an answer that a caller gets as a whole one.
test.each(CASES)(
  "an upload ($form, $path) that is answered early by $name and reset after $afterMs ms has no whole answer",
  async ({ form, path, answer, afterMs }) => {
    const upstream = await startCuttingUpstream(Buffer.from(answer), afterMs);
    const { listener, port } = await startGateway(upstream.address);
    const heard = await sendUpload(port, path, form, BODY);
    expect(upstream.countAnswers()).toBeGreaterThan(0);
    expect(isWholeSuccess(heard.text, heard.isOrderly)).toBe(false);
    listener.stop();
    await upstream.close();
  },
);
