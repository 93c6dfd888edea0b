import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { AttemptFixture } from "./attempt_fixture.ts";

let fixture: AttemptFixture;
beforeEach(() => {
  fixture = new AttemptFixture();
});
afterEach(() => fixture.close());

const answer = (body: string, headers = "") =>
  `HTTP/1.1 200 OK\r\n${headers}content-length: ${body.length}\r\n\r\n${body}`;
test("a refused connection has not run", async () => {
  const raw = await fixture.startRaw(() => undefined);
  fixture.closeUpstreams();
  const { attemptId } = fixture.start(raw.url);
  expect(await fixture.end(attemptId)).toMatchObject({
    kind: "not-started",
    fault: { step: "connect", peer: "engine" },
  });
});

test("a reset on a pooled connection may have run", async () => {
  const raw = await fixture.startRaw((socket, head) => {
    if (head.includes("a-2")) {
      socket.resetAndDestroy();
    } else {
      socket.write(answer("{}"));
    }
  });
  await fixture.end(fixture.start(raw.url).attemptId);
  const outcome = await fixture.end(fixture.start(raw.url).attemptId);
  expect(raw.sockets).toHaveLength(1);
  expect(outcome).toMatchObject({ kind: "failed", isRelayed: false });
});

test("a non-idempotent call gets its own connection", async () => {
  const raw = await fixture.startRaw((socket) => socket.write(answer("{}")));
  await fixture.end(fixture.start(raw.url).attemptId);
  await fixture.end(fixture.start(raw.url, { isIdempotent: false }).attemptId);
  expect(raw.sockets).toHaveLength(2);
});

test("a cancelled attempt closes its connection", async () => {
  const heads: string[] = [];
  const raw = await fixture.startRaw((socket, head) => {
    heads.push(head);
    if (!head.includes("a-2")) {
      socket.write(answer("{}"));
    }
  });
  await fixture.end(fixture.start(raw.url).attemptId);
  const silent = fixture.start(raw.url);
  await vi.waitUntil(() => heads.length === 2);
  fixture.task.cancel(silent.attemptId);
  await vi.waitUntil(() => raw.sockets.at(0)?.readyState === "closed");
  const next = fixture.start(raw.url);
  expect(await fixture.end(next.attemptId)).toMatchObject({
    kind: "completed",
  });
  expect(raw.sockets).toHaveLength(2);
});

test("silence drops the idle connections with its own", async () => {
  const heads: string[] = [];
  const raw = await fixture.startRaw((socket, head) => {
    heads.push(head);
    if (/a-[1245]/.test(head)) {
      socket.write(answer("{}"));
    }
  });
  const pooled = [fixture.start(raw.url), fixture.start(raw.url)];
  await Promise.all(pooled.map(({ attemptId }) => fixture.end(attemptId)));
  const silent = fixture.start(raw.url);
  await vi.waitUntil(() => heads.length === 3);
  fixture.task.cancel(silent.attemptId, true);
  await fixture.end(fixture.start(raw.url).attemptId);
  await vi.waitUntil(
    () =>
      raw.sockets.map(({ readyState }) => readyState).join() ===
      "closed,closed,open",
  );
});

test("an answer names its upstream's boot", async () => {
  const named = answer("{}", "x-boot-id: b-1\r\n");
  const raw = await fixture.startRaw((socket) => socket.write(named));
  await fixture.end(fixture.start(raw.url).attemptId);
  expect(fixture.events).toMatchObject([{ bootId: "b-1" }, { bootId: "b-1" }]);
});

test("a crossed answer is dropped with its connection", async () => {
  const crossed = answer('{"secret":1}', "x-request-id: another\r\n");
  const raw = await fixture.startRaw((socket) => socket.write(crossed));
  const { attemptId, taken } = fixture.start(raw.url);
  expect(await fixture.end(attemptId)).toMatchObject({
    kind: "failed",
    fault: { code: "answer_mismatch" },
  });
  expect(taken).toEqual({ head: 0, text: "" });
  await vi.waitUntil(() => raw.sockets.at(0)?.readyState === "closed");
});

test("bytes that no attempt asked for close the connection", async () => {
  const raw = await fixture.startRaw((socket) => socket.write(answer("{}")));
  await fixture.end(fixture.start(raw.url).attemptId);
  raw.sockets.at(0)?.write(answer('{"late":true}'));
  await vi.waitUntil(() => raw.sockets.at(0)?.readyState === "closed");
  const next = fixture.start(raw.url);
  await fixture.end(next.attemptId);
  expect(next.taken.text).toBe("{}");
});
