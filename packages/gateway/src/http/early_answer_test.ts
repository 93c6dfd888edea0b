import { expect, test } from "vitest";
import { sendUpload, type UploadForm } from "../testing/send_upload.ts";
import { startCuttingUpstream } from "../testing/start_cutting_upstream.ts";
import { startRoutesTo } from "../testing/start_routes_to.ts";

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

const CODINGS = ["identity", "gzip", "chunked, identity", "chunked\t", ""];
const FIELDS = { timeoutMs: 3_000, maxAttempts: 2 } as const;

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

/** Sends an upload that is answered with these bytes at once, and then reset. */
async function sendToCutting(
  answer: string,
  afterMs: number,
  path: string,
  form: UploadForm,
): Promise<void> {
  const upstream = await startCuttingUpstream(Buffer.from(answer), afterMs);
  const { listener, port } = await startRoutesTo(upstream.address, FIELDS);
  const heard = await sendUpload(port, path, form, BODY);
  expect(upstream.countAnswers()).toBeGreaterThan(0);
  expect(isWholeSuccess(heard.text, heard.isOrderly)).toBe(false);
  listener.stop();
  await upstream.close();
}

// Guards against the part of an answer that a caller gets as a whole one.
test.each(CASES)(
  "an upload ($form, $path) that is answered early by $name and reset after $afterMs ms has no whole answer",
  async ({ form, path, answer, afterMs }) => {
    await sendToCutting(answer, afterMs, path, form);
  },
);

// Guards against an answer that is not known to end with its connection.
test.each(CODINGS)(
  "no upload has a whole answer by a part that is coded as '%s'",
  async (coding) => {
    const fields = `${STREAM_TYPE}Transfer-Encoding: ${coding}\r\n`;
    const parts = [
      [
        "/plain/x",
        `HTTP/1.1 200 OK\r\nTransfer-Encoding: ${coding}\r\n\r\npart`,
      ],
      [
        "/safe/x",
        `HTTP/1.1 200 OK\r\nTransfer-Encoding: ${coding}\r\n\r\npart`,
      ],
      ["/stream/x", `HTTP/1.1 200 OK\r\n${fields}\r\n${EVENT}`],
    ] as const;
    const sent = parts.flatMap(([path, answer]) =>
      (["length", "chunks", "slow"] as const).flatMap((form) =>
        [0, 10, 20, 40, 80, 150].map((afterMs) =>
          sendToCutting(answer, afterMs, path, form),
        ),
      ),
    );
    await Promise.all(sent);
  },
);
