import { CALL_SHAPES } from "@gooseberryline/core";
import { expect, test } from "vitest";
import { EXCHANGE } from "../exchange/constants.ts";
import { HeldBytes } from "../exchange/held_bytes.ts";
import { runRequest } from "../testing/run_request.ts";
import { startEndlessUpstream } from "../testing/start_endless_upstream.ts";
import { startUpstream } from "../testing/start_upstream.ts";

const PLAIN = { shape: CALL_SHAPES.plain, isResumable: false } as const;
/** What sockets may hold besides, in bytes. */
const SOCKET_BYTES = 12 * 1_024 * 1_024;
const OK_HEAD = "HTTP/1.1 200 OK\r\n";
const STREAM = "Content-Type: text/event-stream\r\n";
const CHUNK = `10000\r\n${"x".repeat(0x10000)}\r\n`;
const BLOCK = "x".repeat(0x10000);

const FORMS = [
  ["a body without a length", `${OK_HEAD}\r\n`, BLOCK],
  ["a body of 9 TB", `${OK_HEAD}Content-Length: 9000000000000\r\n\r\n`, BLOCK],
  ["chunks", `${OK_HEAD}Transfer-Encoding: chunked\r\n\r\n`, CHUNK],
  ["a head", OK_HEAD, `X: ${BLOCK}`],
  ["header lines", OK_HEAD, "X-More: y\r\n".repeat(1_000)],
  ["empty lines", "", "\r\n".repeat(1_000)],
  ["early heads", "", "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(1_000)],
  [
    "trailers",
    `${OK_HEAD}Transfer-Encoding: chunked\r\n\r\n0\r\n`,
    "X-More: y\r\n".repeat(1_000),
  ],
  ["a refusal", `HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n\r\n`, BLOCK],
] as const;

// Guards against an instance that keeps all bytes of an upstream without end and
// runs out of memory, with the requests of all its callers.
test.each(FORMS)(
  "%s without end is given up for a whole answer",
  async (_, head, block) => {
    const endless = await startEndlessUpstream(head, () => block);
    const sound = await startUpstream((__, res) => {
      res.writeHead(200).end("text");
    });
    const held = new HeldBytes();
    const { answer, ended } = runRequest({
      addresses: [endless.address, sound.address],
      route: PLAIN,
      held,
    });
    await ended;
    expect(answer).toMatchObject({ status: 200, body: "text" });
    expect(held.total).toBe(0);
    await expect.poll(endless.countOpen).toBe(0);
    expect(endless.countBytes()).toBeLessThan(
      EXCHANGE.MAX_ANSWER_BYTES + SOCKET_BYTES,
    );
    await Promise.all([endless.close(), sound.close()]);
  },
);

// Guards against an answer that is cut and passed on as whole.
test("a body without end is an error if no other upstream may be asked", async () => {
  const endless = await startEndlessUpstream(`${OK_HEAD}\r\n`);
  const { answer, ended } = runRequest({
    addresses: [endless.address],
    route: { ...PLAIN, isIdempotent: false },
  });
  await ended;
  expect(answer).toMatchObject({ status: 502, run: "may have run" });
  await endless.close();
});

test("a stream without a whole event goes on elsewhere", async () => {
  const endless = await startEndlessUpstream(
    `${OK_HEAD}${STREAM}\r\nid: 1\ndata: a\n\n`,
  );
  const sound = await startUpstream((_, res) => {
    res.writeHead(200, { "content-type": "text/event-stream" });
    res.end("id: 2\ndata: b\n\n");
  });
  const addresses = [endless.address, sound.address];
  // Time for the head, so that the stream surely begins at the first upstream.
  const route = { objectiveMs: 2_500 };
  const { answer, ended } = runRequest({ addresses, route });
  await ended;
  expect(answer).toMatchObject({
    end: "whole",
    body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
  });
  expect(endless.countBytes()).toBeLessThan(SOCKET_BYTES);
  await Promise.all([endless.close(), sound.close()]);
});

// Guards against many answers that are short enough each and too much together.
test("a hundred long answers at once stay within the bound, short ones pass", () => {
  const held = new HeldBytes();
  const step = 256 * 1_024;
  const lengths = Array.from({ length: 100 }, () => ({ own: 0 }));
  const rounds = Array.from({ length: 32 }, (_, round) => round);
  rounds.forEach(() => {
    lengths.forEach((answer) => {
      answer.own += held.take(answer.own, step) ? step : 0;
    });
  });
  expect(held.total).toBeLessThanOrEqual(EXCHANGE.MAX_HELD_BYTES);
  expect(held.take(0, EXCHANGE.MIN_ANSWER_BYTES)).toBe(true);
});
