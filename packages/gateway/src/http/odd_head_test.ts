import type { RequestOptions } from "node:http";
import { expect, test, vi } from "vitest";
import { sendUpload } from "../testing/send_upload.ts";
import { startRawUpstream } from "../testing/start_raw_upstream.ts";
import { startRoutesTo } from "../testing/start_routes_to.ts";

const parser = vi.hoisted(() => ({ isLenient: false }));

// Older releases of the runtime let pass by default what this one only does if asked.
vi.mock("node:http", async (importOriginal) => {
  const http = await importOriginal<typeof import("node:http")>();
  const request = (options: RequestOptions) =>
    http.request({ ...options, insecureHTTPParser: parser.isLenient });
  return { ...http, request };
});

const STATUS_LINE = "HTTP/1.1 200 OK";
const EVENT = "id: 1\ndata: a\n\n";
const BODY = Buffer.from("prompt");
const ODD_LINES = [
  " X-Odd: v",
  "\tX-Odd: v",
  "\nX-Odd: v",
  "\rX-Odd: v",
  "X Odd: v",
  "X-Odd : v",
  "X-Odd\t: v",
  "X-Odd\n: v",
  "X\u0000Odd: v",
  "X\u0001Odd: v",
  "X\u000bOdd: v",
  "X\u007fOdd: v",
  "\nContent-Length: 2",
  "\rContent-Length: 2",
  "Content-Length : 2",
  "Content Length: 2",
  "Transfer-Encoding : chunked",
  "Connection : close",
];
const FRAMINGS = [[`Content-Length: ${EVENT.length}`], []];
const PATHS = ["/plain/x", "/safe/x", "/stream/x"];

const SOUND_FIELDS = ["X-Empty:", "!#$%&'*+-.^_`|~: v", "X-High: \u00e9"];
const CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";

const CASES = [true, false].flatMap((isLenient) =>
  ODD_LINES.flatMap((line) => PATHS.map((path) => ({ isLenient, line, path }))),
);

function listFields(path: string): string[] {
  const type = path.startsWith("/stream/") ? "text/event-stream" : "text/plain";
  return [`Content-Type: ${type}`, "X-Mark: m"];
}

/** Calls a path whose upstream writes these pieces; returns what the caller gets. */
async function sendToUpstream(pieces: readonly string[], path: string) {
  const upstream = await startRawUpstream((socket) => {
    pieces.forEach((piece, index) => {
      setTimeout(() => socket.write(Buffer.from(piece, "latin1")), index * 2);
    });
    setTimeout(() => socket.end(), pieces.length * 2);
  });
  const { listener, port } = await startRoutesTo(upstream.address);
  const { text } = await sendUpload(port, path, "length", BODY);
  listener.stop();
  await upstream.close();
  return text;
}

// Guards against a line of a head that is no field, and that the caller gets with an
// answer, or that takes the place of the answer's body.
test.each(CASES)(
  "a head with the line $line ($path, lenient $isLenient) is no answer to a caller",
  async ({ isLenient, line, path }) => {
    parser.isLenient = isLenient;
    const fields = listFields(path);
    const heads = FRAMINGS.flatMap((framing) => [
      [STATUS_LINE, line, ...fields, ...framing],
      [STATUS_LINE, ...fields, ...framing, line],
    ]);
    const texts = await Promise.all(
      heads
        .map((lines) => `${lines.join("\r\n")}\r\n\r\n${EVENT}`)
        .map((bytes) => sendToUpstream([bytes], path)),
    );
    texts.forEach((text) => {
      expect(text).toMatch(/^HTTP\/1\.1 50[24] /);
      expect(text).not.toMatch(/odd|mark/i);
    });
  },
);

// Guards against a line that is looked at only where it comes with the whole head.
test.each(["\nX-Odd: v", "X-Odd : v", " X-Odd: v"])(
  "a head with the line %j is no answer, however late its bytes come",
  async (line) => {
    parser.isLenient = true;
    const filler = Array.from(
      { length: 30 },
      (_, i) => `X-${i}: ${"y".repeat(300)}`,
    );
    const lines = [STATUS_LINE, ...filler, ...listFields("/plain/x"), line];
    const bytes = `${lines.join("\r\n")}\r\n\r\n${EVENT}`;
    const cut = bytes.length - line.length - EVENT.length - 4;
    const single = Array.from(bytes.slice(cut));
    const pieces = [bytes.slice(0, cut), ...single];
    expect(await sendToUpstream(pieces, "/plain/x")).toMatch(
      /^HTTP\/1\.1 50[24] /,
    );
  },
);

// Guards against a check that holds back what callers got before.
test.each([
  { isLenient: true, isInPieces: true },
  { isLenient: true, isInPieces: false },
  { isLenient: false, isInPieces: true },
  { isLenient: false, isInPieces: false },
])(
  "sound heads are answers, also after others (lenient $isLenient, in pieces $isInPieces)",
  async ({ isLenient, isInPieces }) => {
    parser.isLenient = isLenient;
    const early = "HTTP/1.1 103 Early\r\nLink: a\r\n\r\n";
    const texts = await Promise.all(
      PATHS.map((path) => {
        const fields = [...SOUND_FIELDS, ...listFields(path)];
        const head = [STATUS_LINE, ...fields].join("\r\n");
        const bytes = `\r\n${early}${CONTINUE}${head}\r\n\r\n${EVENT}`;
        const pieces = isInPieces ? Array.from(bytes) : [bytes];
        return sendToUpstream(pieces, path);
      }),
    );
    texts.forEach((text) => {
      expect(text).toMatch(/^HTTP\/1\.1 200 /);
      expect(text).toContain("id: 1\ndata: a");
    });
  },
);
