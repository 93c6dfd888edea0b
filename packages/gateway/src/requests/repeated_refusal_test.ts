import type { Socket } from "node:net";
import { CALL_SHAPES } from "@gooseberryline/core";
import { ConnectionPool } from "@gooseberryline/daemon";
import { expect, test } from "vitest";
import { createView } from "../testing/create_view.ts";
import { runRequest } from "../testing/run_request.ts";
import { sendExchange } from "../testing/send_exchange.ts";
import { startRawUpstream } from "../testing/start_raw_upstream.ts";
import { waitMs } from "../wait_ms.ts";

const PLAIN = { shape: CALL_SHAPES.plain, isResumable: false } as const;

function buildAnswer(requestId: string, body: string): string {
  return `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
}

function buildRefusal(requestId?: string): string {
  const id = requestId === undefined ? "" : `Request-Id: ${requestId}\r\n`;
  return `HTTP/1.1 503 Full\r\nNot-Run: 1\r\n${id}Content-Length: 4\r\n\r\nfull`;
}

/**
 * Runs a request that the upstream answers on a connection that it keeps, then
 * another on the same connection, answered by `writeSecond`. A second upstream
 * answers what comes to it.
 */
async function runTwo(
  writeSecond: (socket: Socket) => void,
  writeBetween: (socket: Socket) => void = () => undefined,
) {
  const first = await startRawUpstream((socket, count) => {
    if (count === 1) {
      socket.write(buildAnswer("a", "first"));
      setTimeout(() => writeBetween(socket), 10);
    } else {
      writeSecond(socket);
    }
  });
  const other = await startRawUpstream((socket) => {
    socket.write(buildAnswer("b", "other"));
  });
  const view = createView();
  const pool = new ConnectionPool(1_000);
  const addresses = [first.address, other.address];
  const shared = {
    addresses,
    view,
    route: PLAIN,
    pool,
  };
  await runRequest({ ...shared, requestId: "a" }).ended;
  await waitMs(30);
  const run = runRequest({ ...shared, requestId: "b" });
  await run.ended;
  pool.stop();
  await Promise.all([first.close(), other.close()]);
  return run.answer;
}

const TRUE_ANSWERS = ["second", "other"];

const WRITES = [
  [
    "before the next request",
    (socket: Socket) => socket.write(buildAnswer("b", "second")),
    (socket: Socket) => socket.write(buildRefusal("a")),
  ],
  [
    "before the next answer",
    (socket: Socket) => {
      socket.write(buildRefusal("a"));
      setTimeout(() => socket.write(buildAnswer("b", "second")), 15);
    },
    undefined,
  ],
  [
    "in the packet of the next answer",
    (socket: Socket) =>
      socket.write(buildRefusal("a") + buildAnswer("b", "second")),
    undefined,
  ],
  [
    "after the next answer",
    (socket: Socket) =>
      socket.write(buildAnswer("b", "second") + buildRefusal("a")),
    undefined,
  ],
  [
    "without an id",
    (socket: Socket) => {
      socket.write(buildRefusal());
      setTimeout(() => socket.write(buildAnswer("b", "second")), 15);
    },
    undefined,
  ],
] as const;

test.each(WRITES)(
  "an earlier refusal written again %s refuses no other request",
  async (_, writeSecond, writeBetween) => {
    const answer = await runTwo(writeSecond, writeBetween);
    expect(answer.status).toBe(200);
    expect(TRUE_ANSWERS).toContain(answer.body);
  },
);

test("a request that may have run is not said to be not run by a refusal without an id", async () => {
  const upstream = await startRawUpstream((socket, count) => {
    socket.write(count === 1 ? buildAnswer("a", "first") : buildRefusal());
  });
  const pool = new ConnectionPool(1_000);
  const view = createView();
  const addresses = [upstream.address];
  const route = { ...PLAIN, maxAttempts: 1 };
  const shared = { addresses, view, route, pool };
  await runRequest({ ...shared, requestId: "a" }).ended;
  await waitMs(30);
  const run = runRequest({ ...shared, requestId: "b" });
  await run.ended;
  expect(run.answer.run).toBe("may have run");
  pool.stop();
  await upstream.close();
});

const RUN = { requestId: "r1" };

test("a refusal written twice does not refuse the next run of the same request", async () => {
  const upstream = await startRawUpstream((socket) => {
    socket.write(buildRefusal("r1"));
  });
  const pool = new ConnectionPool(1_000);
  expect(await sendExchange(upstream.address, pool, RUN)).toMatchObject({
    kind: "unexecuted",
  });
  await waitMs(20);
  expect(await sendExchange(upstream.address, pool, RUN)).toMatchObject({
    kind: "lost",
  });
  pool.stop();
  await upstream.close();
});
