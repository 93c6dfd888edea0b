import type { RequestOptions } from "node:http";
import { ITEM_RESULTS } from "@gooseberryline/core";
import { ConnectionPool } from "@gooseberryline/daemon";
import fc from "fast-check";
import { expect, test, vi } from "vitest";
import { createItemPool } from "../testing/create_item_pool.ts";
import { runRequest } from "../testing/run_request.ts";
import { sendExchange } from "../testing/send_exchange.ts";
import { startRawUpstream } from "../testing/start_raw_upstream.ts";

// Older releases of the runtime let pass by default what this one only does if asked.
vi.mock("node:http", async (importOriginal) => {
  const http = await importOriginal<typeof import("node:http")>();
  const request = (options: RequestOptions) =>
    http.request({ ...options, insecureHTTPParser: true });
  return { ...http, request };
});

const STATUS_LINE = "HTTP/1.1 200 OK";
const STREAM_TYPE = "Content-Type: text/event-stream";
const ODD_LINES = ["\nX-Odd: v", " X-Odd: v", "Connection : close"];

/** Tab, line feed, carriage return and blank. */
const SPACES = [9, 10, 13, 32];

function buildAnswer(fields: readonly string[], body: string): Buffer {
  const length = `Content-Length: ${body.length}`;
  const head = [STATUS_LINE, ...fields, length, "", body].join("\r\n");
  return Buffer.from(head, "latin1");
}

test.each(ODD_LINES)(
  "a second answer of a connection is lost if its head has the line %j",
  async (line) => {
    const upstream = await startRawUpstream((socket, count) => {
      const fields = [`Request-Id: r${count}`, count === 1 ? "X: v" : line];
      socket.write(buildAnswer(fields, "text"));
    });
    const pool = new ConnectionPool(1_000);
    const { address } = upstream;
    const first = await sendExchange(address, pool, { requestId: "r1" });
    const second = await sendExchange(address, pool, { requestId: "r2" });
    expect(first.kind).toBe("whole");
    expect(second.kind).toBe("lost");
    pool.stop();
    await upstream.close();
  },
);

test.each(ODD_LINES)(
  "a stream does not go on with an answer whose head has the line %j",
  async (line) => {
    const begin = await startRawUpstream((socket) => {
      socket.write(
        `${STATUS_LINE}\r\n${STREAM_TYPE}\r\n\r\nid: 1\ndata: a\n\n`,
      );
      setTimeout(() => socket.resetAndDestroy(), 20);
    });
    const odd = await startRawUpstream((socket) => {
      socket.end(buildAnswer([STREAM_TYPE, line], "id: 2\ndata: b\n\n"));
    });
    const addresses = [begin.address, odd.address];
    const { answer, ended } = runRequest({ addresses });
    await ended;
    expect(odd.countRequests()).toBe(1);
    expect(answer.end).toBe("broken-off");
    expect(answer.body).toBe("id: 1\ndata: a\n\n");
    await Promise.all([begin.close(), odd.close()]);
  },
);

test.each(ODD_LINES)(
  "an item is not completed by an answer whose head has the line %j",
  async (line) => {
    const upstream = await startRawUpstream((socket, count) => {
      const isOdd = count === 1;
      const fields = [STREAM_TYPE, isOdd ? line : "X: v"];
      const body = `id: 1\ndata: ${isOdd ? "odd" : "a"}\n\n`;
      socket.write(buildAnswer(fields, body));
    });
    const { results, waitForResult } = createItemPool(1_000, [upstream]);
    await waitForResult();
    const state = ITEM_RESULTS.completed;
    expect(results).toMatchObject([{ state, text: "a" }]);
    expect(upstream.countRequests()).toBe(2);
    await upstream.close();
  },
);

test("an answer is heard only if its head holds, however its bytes come", async () => {
  const odd = fc.record({
    byte: fc.oneof(
      fc.constantFrom(...SPACES),
      fc.integer({ min: 0, max: 255 }),
    ),
    at: fc.oneof(fc.constantFrom(0, 5), fc.nat({ max: 5 })),
    isFirst: fc.boolean(),
    cut: fc.nat({ max: 60 }),
  });
  await fc.assert(
    fc.asyncProperty(odd, async ({ byte, at, isFirst, cut }) => {
      const character = String.fromCharCode(byte);
      fc.pre(character !== ":");
      const name = `${"X-Odd".slice(0, at)}${character}${"X-Odd".slice(at)}`;
      const fields = [`${name}: v`, "X-Mark: m"];
      const bytes = buildAnswer(isFirst ? fields : fields.toReversed(), "text");
      const upstream = await startRawUpstream((socket) => {
        socket.write(bytes.subarray(0, cut));
        setTimeout(() => socket.write(bytes.subarray(cut)), 5);
      });
      const pool = new ConnectionPool(1_000);
      const { address } = upstream;
      const end = await sendExchange(address, pool, { requestId: "r1" });
      const isToken = /[!#$%&'*+.^_`|~0-9A-Za-z-]/.test(character);
      expect(end.kind).toBe(isToken ? "whole" : "lost");
      pool.stop();
      await upstream.close();
    }),
    { seed: 1, numRuns: 150 },
  );
});
