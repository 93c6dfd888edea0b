import type { Socket } from "node:net";
import { CALL_SHAPES, type Route } from "@gooseberryline/core";
import { expect, test } from "vitest";
import { runRequest } from "../testing/run_request.ts";
import { startRawUpstream } from "../testing/start_raw_upstream.ts";

const STREAM_HEAD =
  "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
const PLAIN_HEAD = "HTTP/1.1 200 OK\r\n\r\n";
const NOT_RESUMABLE = { isResumable: false, isIdempotent: false } as const;
const PLAIN = { shape: CALL_SHAPES.plain, isResumable: false } as const;

function buildEvent(id: number): string {
  return `id: ${id}\ndata: text${id}\n\n`;
}

/** Writes bytes, then ends the connection in order. */
function buildEnd(bytes: string): (socket: Socket) => void {
  return (socket) => {
    socket.end(bytes);
  };
}

/** Writes bytes, then resets the connection. */
function buildReset(bytes: string): (socket: Socket) => void {
  return (socket) => {
    socket.write(bytes, () => setTimeout(() => socket.resetAndDestroy(), 20));
  };
}

/** Runs a request whose answer ends with its connection; the second is sound. */
async function runClosed(
  answer: (socket: Socket) => void,
  second: string,
  route: Partial<Route> = {},
) {
  const upstreams = await Promise.all([
    startRawUpstream(answer),
    startRawUpstream(buildEnd(second)),
  ]);
  const addresses = upstreams.map(({ address }) => address);
  const run = runRequest({ addresses, route });
  const outcome = await run.ended;
  await Promise.all(upstreams.map((upstream) => upstream.close()));
  const counts = upstreams.map(({ countRequests }) => countRequests());
  return { answer: run.answer, outcome, counts };
}

const REST = `${STREAM_HEAD}${buildEvent(2)}${buildEvent(3)}`;

test("a stream that ends with its connection is whole", async () => {
  const bytes = `${STREAM_HEAD}${buildEvent(1)}${buildEvent(2)}`;
  const { answer, counts } = await runClosed(buildEnd(bytes), REST);
  expect(answer.end).toBe("whole");
  expect(answer.body).toBe([1, 2].map(buildEvent).join(""));
  expect(counts).toEqual([1, 0]);
});

test("a stream whose connection ends inside an event goes on elsewhere", async () => {
  const bytes = `${STREAM_HEAD}${buildEvent(1)}id: 2\nda`;
  const { answer, counts } = await runClosed(buildEnd(bytes), REST);
  expect(answer.end).toBe("whole");
  expect(answer.body).toBe([1, 2, 3].map(buildEvent).join(""));
  expect(counts).toEqual([1, 1]);
});

test("a stream that ends inside an event and can't go on is broken off", async () => {
  const bytes = `${STREAM_HEAD}${buildEvent(1)}id: 2\ndata: te`;
  const { answer } = await runClosed(buildEnd(bytes), REST, NOT_RESUMABLE);
  expect(answer.end).toBe("broken-off");
  expect(answer.body).toBe(buildEvent(1));
});

test("a stream whose connection is reset after an event goes on elsewhere", async () => {
  const bytes = `${STREAM_HEAD}${buildEvent(1)}`;
  const { answer } = await runClosed(buildReset(bytes), REST);
  expect(answer.body).toBe([1, 2, 3].map(buildEvent).join(""));
});

// Guards against a cut answer that looks whole to a process that reads late.
test("a reset that is read together with the last bytes is no end in order", async () => {
  const begin = (socket: Socket): void => {
    socket.write(`${STREAM_HEAD}${buildEvent(1)}`);
    setTimeout(() => {
      socket.write(buildEvent(2));
      socket.resetAndDestroy();
    }, 50);
  };
  const { answer } = await runClosed(begin, REST, NOT_RESUMABLE);
  expect(answer.end).toBe("broken-off");
});

test("a stream that stays open without data goes on elsewhere", async () => {
  const bytes = `${STREAM_HEAD}${buildEvent(1)}`;
  const { answer } = await runClosed((socket) => socket.write(bytes), REST);
  expect(answer.end).toBe("whole");
  expect(answer.body).toBe([1, 2, 3].map(buildEvent).join(""));
});

test("a stream whose connection ends before its first event is sent to another", async () => {
  const first = buildEnd(STREAM_HEAD);
  const { answer, counts } = await runClosed(first, REST);
  expect(answer.body).toBe([2, 3].map(buildEvent).join(""));
  expect(counts).toEqual([1, 1]);
});

test("an answer that ends inside its head is sent to another", async () => {
  const first = buildEnd("HTTP/1.1 200 OK\r\nContent-Ty");
  const { answer, counts } = await runClosed(first, REST);
  expect(answer.end).toBe("whole");
  expect(counts).toEqual([1, 1]);
});

test("a plain answer that ends with its connection is whole", async () => {
  const { answer } = await runClosed(buildEnd(`${PLAIN_HEAD}text`), "", PLAIN);
  expect(answer.end).toBe("whole");
  expect(answer.body).toBe("text");
});

test("a plain answer whose connection is reset is not passed on", async () => {
  const first = buildReset(`${PLAIN_HEAD}te`);
  const second = `${PLAIN_HEAD}text`;
  const { answer, counts } = await runClosed(first, second, PLAIN);
  expect(answer.body).toBe("text");
  expect(counts).toEqual([1, 1]);
});

test("bytes after a complete answer belong to no request", async () => {
  const extra = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra";
  const bytes = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntext";
  const { answer } = await runClosed(buildEnd(bytes + extra), "", PLAIN);
  expect(answer.body).toBe("text");
});
