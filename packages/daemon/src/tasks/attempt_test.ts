import { createServer, type Socket } from "node:net";
import type {
  AttemptId,
  AttemptOutcome,
  InstanceEvent,
  WorkId,
} from "@gooseberryline/core";
import { afterEach, expect, test, vi } from "vitest";
import { AttemptTask } from "./attempt_task.ts";
import type { AttemptCall } from "./types.ts";

const cleanups: (() => void)[] = [];
afterEach(() => {
  cleanups.splice(0).forEach((clean) => {
    clean();
  });
});

/** A server that answers each request head with raw bytes. */
const startRaw = async (reply: (socket: Socket, head: string) => void) => {
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on("error", () => undefined);
    socket.on("data", (data) => reply(socket, data.toString()));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  cleanups.push(() => {
    sockets.forEach((socket) => {
      socket.destroy();
    });
    server.close();
  });
  const { port } = server.address() as { port: number };
  return { url: `http://127.0.0.1:${port}`, sockets };
};

const createTask = () => {
  const events: InstanceEvent[] = [];
  const task = new AttemptTask((event) => events.push(event));
  cleanups.push(() => task.stop());
  const control = { count: 0, hasRoom: true };
  const start = (url: string, call: Partial<AttemptCall> = {}) => {
    control.count += 1;
    const attemptId = `a-${control.count}` as AttemptId;
    const taken = { head: 0, text: "" };
    task.start({
      attemptId,
      workId: "w" as WorkId,
      upstreamUrl: url,
      upstreamId: "engine",
      call: {
        method: "POST",
        path: "/x",
        headers: {},
        body: Buffer.from("{}"),
        isStream: false,
        ...call,
      },
      sink: {
        writeHead: ({ status }) => {
          taken.head = status;
        },
        write: (chunk) => {
          taken.text += chunk.toString();
          return control.hasRoom;
        },
        waitForRoom: () => new Promise(() => undefined),
      },
    });
    return { attemptId, taken };
  };
  const end = (attemptId: AttemptId): Promise<AttemptOutcome> =>
    vi.waitUntil(
      () =>
        events
          .filter((event) => event.kind === "attempt-ended")
          .find((event) => event.attemptId === attemptId)?.outcome,
      { timeout: 5_000 },
    );
  return { task, start, end, control, events };
};

const answer = (body: string, headers = "") =>
  `HTTP/1.1 200 OK\r\n${headers}content-length: ${body.length}\r\n\r\n${body}`;
const STREAM =
  "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;

test("a refused connection has not run", async () => {
  const { start, end } = createTask();
  const raw = await startRaw(() => undefined);
  cleanups.pop()?.();
  const { attemptId } = start(raw.url);
  expect(await end(attemptId)).toMatchObject({
    kind: "not-started",
    fault: { step: "connect", peer: "engine" },
  });
});

test("a reset on a pooled connection may have run", async () => {
  const { start, end } = createTask();
  const raw = await startRaw((socket, head) => {
    if (head.includes("a-2")) {
      socket.resetAndDestroy();
    } else {
      socket.write(answer("{}"));
    }
  });
  await end(start(raw.url).attemptId);
  const outcome = await end(start(raw.url).attemptId);
  expect(raw.sockets).toHaveLength(1);
  expect(outcome).toMatchObject({ kind: "failed", isRelayed: false });
});

test("a non-idempotent call gets its own connection", async () => {
  const { start, end } = createTask();
  const raw = await startRaw((socket) => socket.write(answer("{}")));
  await end(start(raw.url).attemptId);
  await end(start(raw.url, { isIdempotent: false }).attemptId);
  expect(raw.sockets).toHaveLength(2);
});

test("a cancelled attempt closes its connection", async () => {
  const { task, start, end } = createTask();
  const heads: string[] = [];
  const raw = await startRaw((socket, head) => {
    heads.push(head);
    if (!head.includes("a-2")) {
      socket.write(answer("{}"));
    }
  });
  await end(start(raw.url).attemptId);
  const silent = start(raw.url);
  await vi.waitUntil(() => heads.length === 2);
  task.cancel(silent.attemptId);
  await vi.waitUntil(() => raw.sockets.at(0)?.readyState === "closed");
  const next = start(raw.url);
  expect(await end(next.attemptId)).toMatchObject({ kind: "completed" });
  expect(raw.sockets).toHaveLength(2);
});

test("silence drops the idle connections with its own", async () => {
  const { task, start, end } = createTask();
  const heads: string[] = [];
  const raw = await startRaw((socket, head) => {
    heads.push(head);
    if (/a-[1245]/.test(head)) {
      socket.write(answer("{}"));
    }
  });
  const pooled = [start(raw.url), start(raw.url)];
  await Promise.all(pooled.map(({ attemptId }) => end(attemptId)));
  const silent = start(raw.url);
  await vi.waitUntil(() => heads.length === 3);
  task.cancel(silent.attemptId, true);
  await end(start(raw.url).attemptId);
  await vi.waitUntil(
    () =>
      raw.sockets.map(({ readyState }) => readyState).join() ===
      "closed,closed,open",
  );
});

test("an answer names its upstream's boot", async () => {
  const { start, end, events } = createTask();
  const named = answer("{}", "x-boot-id: b-1\r\n");
  const raw = await startRaw((socket) => socket.write(named));
  await end(start(raw.url).attemptId);
  expect(events).toMatchObject([{ bootId: "b-1" }, { bootId: "b-1" }]);
});

test("a crossed answer is dropped with its connection", async () => {
  const { start, end } = createTask();
  const crossed = answer('{"secret":1}', "x-request-id: another\r\n");
  const raw = await startRaw((socket) => socket.write(crossed));
  const { attemptId, taken } = start(raw.url);
  expect(await end(attemptId)).toMatchObject({
    kind: "failed",
    fault: { code: "answer_mismatch" },
  });
  expect(taken).toEqual({ head: 0, text: "" });
  await vi.waitUntil(() => raw.sockets.at(0)?.readyState === "closed");
});

test("bytes that no attempt asked for close the connection", async () => {
  const { start, end } = createTask();
  const raw = await startRaw((socket) => socket.write(answer("{}")));
  await end(start(raw.url).attemptId);
  raw.sockets.at(0)?.write(answer('{"late":true}'));
  await vi.waitUntil(() => raw.sockets.at(0)?.readyState === "closed");
  const next = start(raw.url);
  await end(next.attemptId);
  expect(next.taken.text).toBe("{}");
});

test.each([
  ["short of its length", "content-length: 10\r\n\r\n{}"],
  [
    "without its last chunk",
    `transfer-encoding: chunked\r\n\r\n${chunk("{}")}`,
  ],
  ["with no known end", "\r\n{}"],
])("an answer %s is cut off", async (_name, rest) => {
  const { start, end } = createTask();
  const raw = await startRaw((socket) =>
    socket.end(`HTTP/1.1 200 OK\r\n${rest}`),
  );
  const { attemptId, taken } = start(raw.url);
  expect(await end(attemptId)).toMatchObject({
    kind: "failed",
    isRelayed: false,
    fault: { code: "answer_cut_off" },
  });
  expect(taken.text).toBe("");
});

test("a cut stream ends after a whole event", async () => {
  const { start, end } = createTask();
  const raw = await startRaw((socket) => {
    socket.write(STREAM);
    socket.end(chunk('data: {"a":1}\n\ndata: {"b'));
  });
  const { attemptId, taken } = start(raw.url, { isStream: true });
  expect(await end(attemptId)).toMatchObject({
    kind: "failed",
    isRelayed: true,
    fault: { code: "answer_cut_off" },
  });
  expect(taken.text).toBe('data: {"a":1}\n\n');
});

test("an end mark quoted in a token ends nothing", async () => {
  const { start, end } = createTask();
  const raw = await startRaw((socket) =>
    socket.end(`${STREAM}${chunk('data: {"c":"data: [DONE]"}\n\n')}0\r\n\r\n`),
  );
  const { attemptId } = start(raw.url, { isStream: true });
  expect((await end(attemptId)).kind).toBe("failed");
});

test("a stream in odd pieces arrives whole", async () => {
  const { start, end } = createTask();
  const text = 'data: {"a":1}\n\ndata: {"b":2}\n\ndata: [DONE]\n\n';
  const raw = await startRaw((socket) =>
    socket.write(`${STREAM}${Array.from(text, chunk).join("")}0\r\n\r\n`),
  );
  const { attemptId, taken } = start(raw.url, { isStream: true });
  expect(await end(attemptId)).toMatchObject({ kind: "completed", tokens: 3 });
  expect(taken.text).toBe(text);
});

test.each([
  ["a model's end mark", 'data: {"a":1}\n\ndata: [DONE]\n', false],
  ["a plain service's event", "data: a\n\ndata: b", true],
])("%s needs no blank line", async (_name, text, isPlain) => {
  const { start, end } = createTask();
  const raw = await startRaw((socket) =>
    socket.write(`${STREAM}${chunk(text)}0\r\n\r\n`),
  );
  const { attemptId, taken } = start(raw.url, { isStream: true, isPlain });
  expect((await end(attemptId)).kind).toBe("completed");
  expect(taken.text).toBe(text);
});

test("an answer to HEAD ends with its head", async () => {
  const { start, end } = createTask();
  const raw = await startRaw((socket) =>
    socket.write("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n"),
  );
  const call = { method: "HEAD", isPlain: true, body: Buffer.alloc(0) };
  const { attemptId, taken } = start(raw.url, call);
  expect((await end(attemptId)).kind).toBe("completed");
  expect(taken.head).toBe(200);
});

test("an overloaded upstream's refusal is not the answer", async () => {
  const { start, end } = createTask();
  const raw = await startRaw((socket) =>
    socket.write("HTTP/1.1 429 Busy\r\ncontent-length: 0\r\n\r\n"),
  );
  expect(await end(start(raw.url).attemptId)).toMatchObject({
    kind: "failed",
    fault: { message: "the upstream answered 429" },
  });
});

test("a full sink holds back the upstream", async () => {
  const { start, control } = createTask();
  control.hasRoom = false;
  const event = chunk(`data: ${"x".repeat(60_000)}\n\n`);
  const raw = await startRaw((socket) => {
    socket.write(STREAM);
    Array.from({ length: 400 }).forEach(() => {
      socket.write(event);
    });
  });
  const { taken } = start(raw.url, { isStream: true });
  await vi.waitUntil(() => taken.text.length > 0);
  const unsent = () => raw.sockets.at(0)?.writableLength ?? 0;
  const seen = { before: -1 };
  await vi.waitUntil(
    () => {
      const isStill = seen.before === unsent();
      seen.before = unsent();
      return isStill;
    },
    { timeout: 5_000, interval: 200 },
  );
  expect(unsent()).toBeGreaterThan(1_000_000);
  expect(taken.text.length).toBeLessThan(300_000);
});
