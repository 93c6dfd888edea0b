import { CALL_SHAPES } from "@gooseberryline/core";
import { ConnectionPool } from "@gooseberryline/daemon";
import { expect, test } from "vitest";
import { runRequest } from "../testing/run_request.ts";
import { startRawUpstream } from "../testing/start_raw_upstream.ts";

const PLAIN = { shape: CALL_SHAPES.plain, isResumable: false } as const;

function buildAnswer(status: string, headers: string, body: string): string {
  return `HTTP/1.1 ${status}\r\n${headers}Content-Length: ${body.length}\r\n\r\n${body}`;
}

function buildSound(requestId: string): string {
  return buildAnswer("200 OK", `Request-Id: ${requestId}\r\n`, requestId);
}

const STRAY = [
  ["a success", buildAnswer("200 OK", "", "stray")],
  ["an unsigned success", buildAnswer("200 OK", "Unsigned: 1\r\n", "stray")],
  ["an error", buildAnswer("500 Error", "", "stray")],
  ["a refusal", buildAnswer("503 Full", "Not-Run: 1\r\n", "")],
  ["an error of 422", buildAnswer("422 No", "", "stray")],
  ["an answer to another request", buildSound("other")],
] as const;

// Guards against bytes behind a complete answer that reach the next caller.
test.each(STRAY)(
  "%s that belongs to no request does not answer the next on its connection",
  async (_, stray) => {
    const upstream = await startRawUpstream((socket, count) => {
      if (count === 1) {
        socket.write(buildSound("a"));
      } else if (count === 2) {
        socket.write(stray);
      } else {
        socket.write(buildSound("b"));
      }
    });
    const addresses = [upstream.address];
    const pool = new ConnectionPool(1_000);
    const shared = { addresses, pool, route: PLAIN };
    await runRequest({ ...shared, requestId: "a" }).ended;
    const { answer, ended } = runRequest({ ...shared, requestId: "b" });
    await ended;
    expect(answer).toMatchObject({ status: 200, body: "b" });
    await upstream.close();
  },
);

// Guards against a success that no upstream has signed.
test("an unsigned success on a first connection is no answer", async () => {
  const upstream = await startRawUpstream((socket) => {
    socket.write(buildAnswer("200 OK", "Unsigned: 1\r\n", "stray"));
  });
  const route = { ...PLAIN, isIdempotent: false };
  const { answer, ended } = runRequest({
    addresses: [upstream.address],
    route,
  });
  await ended;
  expect(answer).toMatchObject({ status: 502, run: "may have run" });
  await upstream.close();
});

// Guards against an upstream that is never heard since it names no request.
test("an upstream that never names requests is heard, on a connection each", async () => {
  const upstream = await startRawUpstream((socket, count) => {
    socket.write(buildAnswer("200 OK", "", `answer ${count}`));
  });
  const pool = new ConnectionPool(1_000);
  const shared = { addresses: [upstream.address], pool, route: PLAIN };
  const first = runRequest({ ...shared, requestId: "a" });
  await first.ended;
  const second = runRequest({ ...shared, requestId: "b" });
  await second.ended;
  expect(first.answer.body).toBe("answer 1");
  expect(second.answer.body).toBe("answer 2");
  expect(upstream.countRequests()).toBe(2);
  await upstream.close();
});

// Guards against a status that threw where it was passed on: callers waited on.
test.each(["000 Odd", "099 Odd"])(
  "a status of %s is not passed on",
  async (status) => {
    const odd = await startRawUpstream((socket) => {
      socket.write(buildAnswer(status, "Request-Id: r1\r\n", ""));
    });
    const sound = await startRawUpstream((socket) => {
      socket.write(buildSound("r1"));
    });
    const addresses = [odd.address, sound.address];
    const { answer, ended } = runRequest({ addresses, route: PLAIN });
    await ended;
    expect(answer).toMatchObject({ status: 200, body: "r1" });
    await Promise.all([odd.close(), sound.close()]);
  },
);
