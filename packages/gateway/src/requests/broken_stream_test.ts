import type { Socket } from "node:net";
import { expect, test } from "vitest";
import { runRequest } from "../testing/run_request.ts";
import { startRawUpstream } from "../testing/start_raw_upstream.ts";

const CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";
const STREAM = "Content-Type: text/event-stream\r\n";
const PIECE_DELAY_MS = 15;

function buildEvent(id: number): string {
  return `id: ${id}\ndata: text${id}\n\n`;
}

function buildChunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

function buildAnswer(status: number, type: string, text: string): string {
  const chunk = text === "" ? "" : buildChunk(text);
  return `HTTP/1.1 ${status} X\r\n${type}${CHUNKED}${chunk}0\r\n\r\n`;
}

/** Writes a head and two events, then resets the connection. */
function writeAndReset(socket: Socket): void {
  const events = buildChunk(buildEvent(1) + buildEvent(2));
  socket.write(`HTTP/1.1 200 OK\r\n${STREAM}${CHUNKED}${events}`);
  setTimeout(() => socket.resetAndDestroy(), PIECE_DELAY_MS);
}

type Write = (socket: Socket, bytes: string) => void;

const WRITES: readonly Write[] = [
  (socket, bytes) => socket.write(bytes),
  (socket, bytes) => {
    setTimeout(() => socket.write(bytes), 3 * PIECE_DELAY_MS);
  },
  (socket, bytes) => {
    const size = Math.ceil(bytes.length / 4);
    [0, 1, 2, 3].forEach((index) => {
      const piece = bytes.slice(index * size, (index + 1) * size);
      setTimeout(() => socket.write(piece), index * PIECE_DELAY_MS);
    });
  },
];

/** Runs a stream that breaks off after two events and goes on with `second`. */
async function runBroken(second: string, write: Write) {
  const upstreams = await Promise.all([
    startRawUpstream(writeAndReset),
    startRawUpstream((socket) => write(socket, second)),
  ]);
  const addresses = upstreams.map(({ address }) => address);
  const { answer, ended } = runRequest({ addresses });
  await ended;
  await Promise.all(upstreams.map((upstream) => upstream.close()));
  return answer;
}

const BEGUN = buildEvent(1) + buildEvent(2);
const REST = buildEvent(3) + buildEvent(4);
const JSON_TYPE = "Content-Type: application/json\r\n";

const CASES = [
  ["a client error", buildAnswer(404, JSON_TYPE, "{}"), false],
  ["a server error", buildAnswer(500, JSON_TYPE, "{}\n\n"), false],
  ["a server error without a body", buildAnswer(500, JSON_TYPE, ""), false],
  [
    "a server error of the stream's type",
    buildAnswer(500, STREAM, REST),
    false,
  ],
  [
    "a client error of the stream's type",
    buildAnswer(410, STREAM, REST),
    false,
  ],
  [
    "another type",
    buildAnswer(200, "Content-Type: text/html\r\n", REST),
    false,
  ],
  ["what is no event", buildAnswer(200, STREAM, "<p>\n\n</p>\n\n"), false],
  ["an event without an id", buildAnswer(200, STREAM, "data: x\n\n"), false],
  [
    "an event that does not follow",
    buildAnswer(200, STREAM, buildEvent(5)),
    false,
  ],
  ["an event once more", buildAnswer(200, STREAM, buildEvent(2)), false],
  ["an unfinished event", buildAnswer(200, STREAM, "id: 3\ndata: te"), false],
  ["the events that follow", buildAnswer(200, STREAM, REST), true],
  [
    "the events that follow, with a length",
    `HTTP/1.1 200 OK\r\n${STREAM}Content-Length: ${REST.length}\r\n\r\n${REST}`,
    true,
  ],
] as const;

test.each(CASES)(
  "a broken stream that goes on with %s is whole or visibly cut",
  async (_, second, isWhole) => {
    const answers = await Promise.all(
      WRITES.map((write) => runBroken(second, write)),
    );
    const body = isWhole ? BEGUN + REST : BEGUN;
    const end = isWhole ? "whole" : "broken-off";
    answers.forEach((answer) => {
      expect(answer).toMatchObject({ status: 200, body, end });
    });
  },
);

test("a server error of the stream's type is tried elsewhere before it is passed on", async () => {
  const upstreams = await Promise.all([
    startRawUpstream((socket) => socket.write(buildAnswer(500, STREAM, REST))),
    startRawUpstream((socket) => socket.write(buildAnswer(200, STREAM, BEGUN))),
  ]);
  const addresses = upstreams.map(({ address }) => address);
  const { answer, ended } = runRequest({ addresses });
  await ended;
  expect(answer).toMatchObject({ status: 200, body: BEGUN, end: "whole" });
  await Promise.all(upstreams.map((upstream) => upstream.close()));
});
