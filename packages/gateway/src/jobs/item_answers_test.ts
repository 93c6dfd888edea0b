import { ITEM_RESULTS } from "@gooseberryline/core";
import { expect, test } from "vitest";
import { createItemPool } from "../testing/create_item_pool.ts";
import { startRawUpstream } from "../testing/start_raw_upstream.ts";

const STREAM = "Content-Type: text/event-stream\r\n";

function buildAnswer(type: string, body: string, status = "200"): string {
  return `HTTP/1.1 ${status} OK\r\n${type}Content-Length: ${body.length}\r\n\r\n${body}`;
}

const FAULTS = [
  ["another type", buildAnswer("Content-Type: text/html\r\n", "data: no\n\n")],
  ["a status of 000", buildAnswer(STREAM, "id: 2\ndata: no\n\n", "000")],
  ["a status of 099", buildAnswer(STREAM, "id: 2\ndata: no\n\n", "099")],
  [
    "a body coded by gzip",
    `HTTP/1.1 200 OK\r\n${STREAM}Transfer-Encoding: gzip\r\n\r\nid: 2\ndata: no\n\n`,
  ],
  ["an event without an id", buildAnswer(STREAM, "data: no\n\n")],
] as const;

test.each(FAULTS)("an item's text does not go on with %s", async (_, fault) => {
  const upstream = await startRawUpstream((socket, count) => {
    if (count === 1) {
      socket.write(`HTTP/1.1 200 OK\r\n${STREAM}Content-Length: 99\r\n\r\n`);
      socket.write("id: 1\ndata: a\n\n");
      setTimeout(() => socket.resetAndDestroy(), 20);
    } else {
      const rest = buildAnswer(STREAM, "id: 2\ndata: b\n\n");
      socket.write(count === 2 ? fault : rest);
    }
  });
  const { results, waitForResult } = createItemPool(1_000, [upstream]);
  await waitForResult();
  const state = ITEM_RESULTS.completed;
  expect(results).toMatchObject([{ state, text: "a\nb" }]);
  expect(upstream.countRequests()).toBe(3);
  await upstream.close();
});
