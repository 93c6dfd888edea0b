import type { Socket } from "node:net";
import { CALL_SHAPES, type Route } from "@gooseberryline/core";
import { expect, test } from "vitest";
import { createView } from "../testing/create_view.ts";
import { runRequest } from "../testing/run_request.ts";
import { startKilledUpstream } from "../testing/start_killed_upstream.ts";
import {
  type RawUpstream,
  startRawUpstream,
} from "../testing/start_raw_upstream.ts";

const EVENTS_HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
const STREAM_HEAD = `${EVENTS_HEAD}\r\n`;
const PLAIN_HEAD = "HTTP/1.1 200 OK\r\n\r\n";
const NOT_RESUMABLE = { isResumable: false, isIdempotent: false } as const;
const PLAIN = { shape: CALL_SHAPES.plain, isResumable: false } as const;
const UNSAFE_PLAIN = { ...PLAIN, isIdempotent: false } as const;

function buildEvent(id: number): string {
  return `id: ${id}\ndata: text${id}\n\n`;
}

/** Ends as a killed process does: nothing listens, connections end in order. */
async function startEndingUpstream(bytes: string): Promise<RawUpstream> {
  const upstream: RawUpstream = await startRawUpstream((socket: Socket) => {
    upstream.stopListening();
    socket.end(bytes);
  });
  return upstream;
}

/** Runs a request at an upstream that ends, beside one that is sound. */
async function runBesideEnd(
  bytes: string,
  second: string,
  route: Partial<Route> = {},
  isLeaving = false,
) {
  const upstreams = await Promise.all([
    startEndingUpstream(bytes),
    startRawUpstream((socket) => socket.end(second)),
  ]);
  const view = createView();
  const addresses = upstreams.map(({ address }) => address);
  const run = runRequest({ addresses, route, view });
  if (isLeaving) {
    view.directory.markLeaving([{ id: "u0", bornMs: undefined }]);
  }
  const outcome = await run.ended;
  await Promise.all(upstreams.map((upstream) => upstream.close()));
  const counts = upstreams.map(({ countRequests }) => countRequests());
  return { answer: run.answer, outcome, counts };
}

const BEGUN = STREAM_HEAD + buildEvent(1);
const REST = STREAM_HEAD + buildEvent(2) + buildEvent(3);
const ALL = [1, 2, 3].map(buildEvent).join("");

test("a stream whose upstream ends after an event goes on elsewhere", async () => {
  const { answer, counts } = await runBesideEnd(BEGUN, REST);
  expect(answer).toMatchObject({ body: ALL, end: "whole" });
  expect(counts).toEqual([1, 1]);
});

test("a stream whose upstream ends after an event and can't go on is broken off", async () => {
  const { answer } = await runBesideEnd(BEGUN, REST, NOT_RESUMABLE);
  expect(answer).toMatchObject({ body: buildEvent(1), end: "broken-off" });
});

test("a stream whose upstream ends after its last event is whole", async () => {
  const nothing = `${EVENTS_HEAD}Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n`;
  const { answer } = await runBesideEnd(BEGUN, nothing);
  expect(answer).toMatchObject({ body: buildEvent(1), end: "whole" });
});

test("a stream that can't go on is whole if its upstream was leaving", async () => {
  const { answer } = await runBesideEnd(BEGUN, REST, NOT_RESUMABLE, true);
  expect(answer).toMatchObject({ body: buildEvent(1), end: "whole" });
});

// Guards against the part of a killed upstream's stream that looks complete.
test("a stream whose upstream is killed after an event goes on elsewhere", async () => {
  const killed = await startKilledUpstream(BEGUN);
  const sound = await startRawUpstream((socket) => socket.end(REST));
  const { answer, ended } = runRequest({ addresses: [killed, sound.address] });
  await ended;
  await sound.close();
  expect(answer).toMatchObject({ body: ALL, end: "whole" });
});

test("a plain answer whose upstream ends is heard as one with a length is", async () => {
  const withLength = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwh";
  const whole = `${PLAIN_HEAD}whole`;
  const runs = await Promise.all(
    [`${PLAIN_HEAD}wh`, withLength].map((first) =>
      runBesideEnd(first, whole, PLAIN),
    ),
  );
  const [closed, sized] = runs.map(({ answer, counts }) => [answer, counts]);
  expect(closed).toEqual(sized);
});

test("a plain answer whose upstream ends and that may have run is no success", async () => {
  const first = `${PLAIN_HEAD}wh`;
  const { answer, counts } = await runBesideEnd(first, "", UNSAFE_PLAIN);
  expect(answer).toMatchObject({ status: 502, run: "may have run" });
  expect(counts).toEqual([1, 0]);
});

test("an answer without a body does not end with its connection", async () => {
  const head = "HTTP/1.1 204 No Content\r\n\r\n";
  const { answer } = await runBesideEnd(head, "", UNSAFE_PLAIN);
  expect(answer).toMatchObject({ status: 204, end: "whole" });
});
