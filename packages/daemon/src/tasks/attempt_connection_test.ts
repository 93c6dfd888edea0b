import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { AttemptFixture } from "./attempt_fixture.ts";

let fixture: AttemptFixture;
beforeEach(() => {
  fixture = new AttemptFixture();
});
afterEach(() => fixture.close());

const answer = (body: string, headers = "") =>
  `HTTP/1.1 200 OK\r\n${headers}content-length: ${body.length}\r\n\r\n${body}`;
test("a refused connection counts as not started", async () => {
  const raw = await fixture.startRawUpstream(() => undefined);
  fixture.closeUpstreams();
  const { attemptId } = fixture.start(raw.url);
  expect(await fixture.end(attemptId)).toMatchObject({
    kind: "not-started",
    fault: { step: "connect", peer: "engine" },
  });
});

test("a call may have run when its pooled connection is reset", async () => {
  const raw = await fixture.startRawUpstream((socket, head) => {
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

test("a non-idempotent call gets a new connection", async () => {
  const raw = await fixture.startRawUpstream((socket) =>
    socket.write(answer("{}")),
  );
  await fixture.end(fixture.start(raw.url).attemptId);
  await fixture.end(fixture.start(raw.url, { isIdempotent: false }).attemptId);
  expect(raw.sockets).toHaveLength(2);
});

test("a cancelled attempt closes its connection", async () => {
  const heads: string[] = [];
  const raw = await fixture.startRawUpstream((socket, head) => {
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

test("cancelling a silent attempt also closes the idle connections", async () => {
  const heads: string[] = [];
  const raw = await fixture.startRawUpstream((socket, head) => {
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

test("an answer reports the boot id of its upstream", async () => {
  const withBootId = answer("{}", "x-boot-id: b-1\r\n");
  const raw = await fixture.startRawUpstream((socket) =>
    socket.write(withBootId),
  );
  await fixture.end(fixture.start(raw.url).attemptId);
  expect(fixture.events).toMatchObject([{ bootId: "b-1" }, { bootId: "b-1" }]);
});

test("an answer to another request is discarded and its connection closed", async () => {
  const mismatched = answer('{"secret":1}', "x-request-id: another\r\n");
  const raw = await fixture.startRawUpstream((socket) =>
    socket.write(mismatched),
  );
  const { attemptId, taken: received } = fixture.start(raw.url);
  expect(await fixture.end(attemptId)).toMatchObject({
    kind: "failed",
    fault: { code: "answer_mismatch" },
  });
  expect(received).toEqual({ head: 0, text: "" });
  await vi.waitUntil(() => raw.sockets.at(0)?.readyState === "closed");
});

test("unsolicited bytes close the connection", async () => {
  const raw = await fixture.startRawUpstream((socket) =>
    socket.write(answer("{}")),
  );
  await fixture.end(fixture.start(raw.url).attemptId);
  raw.sockets.at(0)?.write(answer('{"late":true}'));
  await vi.waitUntil(() => raw.sockets.at(0)?.readyState === "closed");
  const next = fixture.start(raw.url);
  await fixture.end(next.attemptId);
  expect(next.taken.text).toBe("{}");
});

// Guards against an exception of a send, after which its attempt never ended.
test.each([
  ["a header", { headers: { "x-a": "\u4e2d" } }],
  ["a path", { path: "/a b" }],
])(
  "an attempt with %s that no request carries has not started",
  async (_, call) => {
    const raw = await fixture.startRawUpstream(() => undefined);
    const { attemptId } = fixture.start(raw.url, call);
    expect(await fixture.end(attemptId)).toMatchObject({
      kind: "not-started",
      fault: { code: "upstream_error", peer: "engine" },
    });
    expect(raw.sockets).toHaveLength(0);
  },
);
