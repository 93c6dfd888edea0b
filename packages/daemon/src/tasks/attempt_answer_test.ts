import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { AttemptFixture } from "./attempt_fixture.ts";

let fixture: AttemptFixture;
beforeEach(() => {
  fixture = new AttemptFixture();
});
afterEach(() => fixture.close());

const STREAM =
  "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;

test.each([
  ["shorter than its content length", "content-length: 10\r\n\r\n{}"],
  [
    "without its last chunk",
    `transfer-encoding: chunked\r\n\r\n${chunk("{}")}`,
  ],
  ["without length or chunked encoding", "\r\n{}"],
])("an answer %s is cut off", async (_name, rest) => {
  const raw = await fixture.startRawUpstream((socket) =>
    socket.end(`HTTP/1.1 200 OK\r\n${rest}`),
  );
  const { attemptId, taken: received } = fixture.start(raw.url);
  expect(await fixture.end(attemptId)).toMatchObject({
    kind: "failed",
    isRelayed: false,
    fault: { code: "answer_cut_off" },
  });
  expect(received.text).toBe("");
});

test("a truncated stream is relayed up to its last complete event", async () => {
  const raw = await fixture.startRawUpstream((socket) => {
    socket.write(STREAM);
    socket.end(chunk('data: {"a":1}\n\ndata: {"b'));
  });
  const { attemptId, taken: received } = fixture.start(raw.url, {
    isStream: true,
  });
  expect(await fixture.end(attemptId)).toMatchObject({
    kind: "failed",
    isRelayed: true,
    fault: { code: "answer_cut_off" },
  });
  expect(received.text).toBe('data: {"a":1}\n\n');
});

test("a [DONE] marker quoted inside a token does not end the stream", async () => {
  const raw = await fixture.startRawUpstream((socket) =>
    socket.end(`${STREAM}${chunk('data: {"c":"data: [DONE]"}\n\n')}0\r\n\r\n`),
  );
  const { attemptId } = fixture.start(raw.url, { isStream: true });
  expect((await fixture.end(attemptId)).kind).toBe("failed");
});

test("a stream split into single bytes arrives complete", async () => {
  const text = 'data: {"a":1}\n\ndata: {"b":2}\n\ndata: [DONE]\n\n';
  const raw = await fixture.startRawUpstream((socket) =>
    socket.write(`${STREAM}${Array.from(text, chunk).join("")}0\r\n\r\n`),
  );
  const { attemptId, taken: received } = fixture.start(raw.url, {
    isStream: true,
  });
  expect(await fixture.end(attemptId)).toMatchObject({
    kind: "completed",
    tokens: 3,
  });
  expect(received.text).toBe(text);
});

test.each([
  ["a model's [DONE] marker", 'data: {"a":1}\n\ndata: [DONE]\n', false],
  ["a plain service's event", "data: a\n\ndata: b", true],
])("%s needs no blank line", async (_name, text, isPlain) => {
  const raw = await fixture.startRawUpstream((socket) =>
    socket.write(`${STREAM}${chunk(text)}0\r\n\r\n`),
  );
  const { attemptId, taken: received } = fixture.start(raw.url, {
    isStream: true,
    isPlain,
  });
  expect((await fixture.end(attemptId)).kind).toBe("completed");
  expect(received.text).toBe(text);
});

test("an answer to HEAD is complete after its headers", async () => {
  const raw = await fixture.startRawUpstream((socket) =>
    socket.write("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n"),
  );
  const call = { method: "HEAD", isPlain: true, body: Buffer.alloc(0) };
  const { attemptId, taken: received } = fixture.start(raw.url, call);
  expect((await fixture.end(attemptId)).kind).toBe("completed");
  expect(received.head).toBe(200);
});

test("an overloaded upstream's refusal is not the answer", async () => {
  const raw = await fixture.startRawUpstream((socket) =>
    socket.write("HTTP/1.1 429 Busy\r\ncontent-length: 0\r\n\r\n"),
  );
  expect(await fixture.end(fixture.start(raw.url).attemptId)).toMatchObject({
    kind: "failed",
    fault: { message: "the upstream answered 429" },
  });
});

test("a full sink applies backpressure to the upstream", async () => {
  fixture.isWritable = false;
  const event = chunk(`data: ${"x".repeat(60_000)}\n\n`);
  const raw = await fixture.startRawUpstream((socket) => {
    socket.write(STREAM);
    Array.from({ length: 400 }).forEach(() => {
      socket.write(event);
    });
  });
  const { taken: received } = fixture.start(raw.url, { isStream: true });
  await vi.waitUntil(() => received.text.length > 0);
  const unsent = () => raw.sockets.at(0)?.writableLength ?? 0;
  const last = { before: -1 };
  await vi.waitUntil(
    () => {
      const isStable = last.before === unsent();
      last.before = unsent();
      return isStable;
    },
    { timeout: 5_000, interval: 200 },
  );
  expect(unsent()).toBeGreaterThan(1_000_000);
  expect(received.text.length).toBeLessThan(300_000);
});

// Guards against a body that is not what its head, as the caller gets it, says.
test.each([
  "gzip",
  "gzip, chunked",
  "chunked, chunked",
  "identity",
  "chunked\t",
])("an answer coded as %j is not relayed", async (coding) => {
  const head = `HTTP/1.1 200 OK\r\ntransfer-encoding: ${coding}\r\n\r\n`;
  const raw = await fixture.startRawUpstream((socket) =>
    socket.end(`${head}${chunk("{}")}0\r\n\r\n`),
  );
  const { attemptId, taken: received } = fixture.start(raw.url);
  expect(await fixture.end(attemptId)).toMatchObject({
    kind: "failed",
    isRelayed: false,
  });
  expect(received.text).toBe("");
});

test.each(["chunked", "Chunked", "identity, chunked"])(
  "an answer coded as %j is relayed",
  async (coding) => {
    const head = `HTTP/1.1 200 OK\r\ntransfer-encoding: ${coding}\r\n\r\n`;
    const raw = await fixture.startRawUpstream((socket) =>
      socket.end(`${head}${chunk("{}")}0\r\n\r\n`),
    );
    const { attemptId, taken: received } = fixture.start(raw.url);
    expect((await fixture.end(attemptId)).kind).toBe("completed");
    expect(received.text).toBe("{}");
  },
);

// Guards against a status that Node reads but refuses to write to a caller.
test.each(["000", "099"])(
  "a status of %s is an upstream's error",
  async (status) => {
    const raw = await fixture.startRawUpstream((socket) =>
      socket.end(`HTTP/1.1 ${status} Odd\r\ncontent-length: 0\r\n\r\n`),
    );
    const call = { isPlain: true, isIdempotent: false };
    const { attemptId, taken: received } = fixture.start(raw.url, call);
    expect(await fixture.end(attemptId)).toMatchObject({
      kind: "failed",
      isRelayed: false,
      fault: { code: "upstream_error" },
    });
    expect(received.head).toBe(0);
  },
);
