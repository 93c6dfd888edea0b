import { connect, type Socket } from "node:net";
import { afterAll, beforeAll, expect, test } from "vitest";
import { storeConfig } from "../support/store_config.ts";
import { waitUntil } from "../support/wait_until.ts";
import { dropCustomerKeys } from "./drop_customer_keys.ts";
import { startCallerSystem } from "./start_caller_system.ts";

const JSON_BODY = '{"model":"demo-model","stream":true,"messages":[]}';
const HEAD = [
  "POST /v1/chat/completions HTTP/1.1",
  "host: x",
  "authorization: Bearer demo-key",
  "content-type: application/json",
].join("\r\n");

let system: Awaited<ReturnType<typeof startCallerSystem>>;
beforeAll(async () => {
  system = await startCallerSystem({ engine: { tokenMs: 5 } });
});
afterAll(() => system.stop());

const send = (text: string, url = system.callerUrl) => {
  const { hostname, port } = new URL(url);
  const socket = connect(Number(port), hostname);
  const received = { text: "" };
  socket.on("data", (data) => {
    received.text += data.toString();
  });
  socket.on("error", () => undefined);
  socket.write(text);
  return { socket, got: received };
};
const waitForClose = (socket: Socket) =>
  waitUntil(() => socket.readyState === "closed");

test.each([
  ["two lengths", "content-length: 50\r\ncontent-length: 51"],
  ["a length and chunks", "content-length: 50\r\ntransfer-encoding: chunked"],
  ["chunks twice over", "transfer-encoding: chunked, identity"],
  ["a bare line feed in a value", "x-a: b\nx-c\r\ncontent-length: 50"],
  ["a carriage return in a value", "x-a: b\rx-c: d\r\ncontent-length: 50"],
  ["a folded value", "x-a: b\r\n c\r\ncontent-length: 50"],
  ["a space before the colon", "content-length : 50"],
  ["a length that is no number", "content-length: +50"],
])("%s is refused", async (_name, headers) => {
  const before = system.engines[0]?.runs.length;
  const { socket, got } = send(`${HEAD}\r\n${headers}\r\n\r\n${JSON_BODY}`);
  await waitForClose(socket);
  expect(got.text).toMatch(/^HTTP\/1.1 400 /);
  expect(got.text).toContain('"run":"not run"');
  expect(system.engines[0]?.runs.length).toBe(before);
});

test("headers that are too large are refused", async () => {
  const { socket, got } = send(`${HEAD}\r\nx-a: ${"a".repeat(20_000)}\r\n\r\n`);
  await waitForClose(socket);
  expect(got.text).toMatch(/^HTTP\/1.1 431 /);
});

test("a slow sender is disconnected", async () => {
  const callerListener = {
    host: "127.0.0.1",
    port: 0,
    headersTimeoutMs: 200,
    requestTimeoutMs: 400,
  };
  const strict = await startCallerSystem({ settings: { callerListener } });
  const headers = send("POST /v1/chat", strict.callerUrl);
  const body = send(
    `${HEAD}\r\ncontent-length: 50\r\n\r\n{"mod`,
    strict.callerUrl,
  );
  await waitForClose(headers.socket);
  await waitForClose(body.socket);
  expect(headers.got.text).toMatch(/^HTTP\/1.1 408 /);
  expect(strict.engines[0]?.runs).toEqual([]);
  await strict.stop();
});

test("a caller that disconnects while sending the body causes no run", async () => {
  const before = system.engines[0]?.runs.length;
  const { socket } = send(`${HEAD}\r\ncontent-length: 50\r\n\r\n{"mod`);
  socket.end();
  await waitForClose(socket);
  const again = send(
    `${HEAD}\r\nconnection: close\r\ncontent-length: ${JSON_BODY.length}\r\n\r\n${JSON_BODY}`,
  );
  await waitForClose(again.socket);
  expect(again.got.text).toContain("data: [DONE]");
  expect(system.engines[0]?.runs.length).toBe((before ?? 0) + 1);
});

test("a caller that disconnects while streaming cancels the attempt", async () => {
  const body = JSON_BODY.replace("[]", '[],"max_tokens":2000');
  const head = `${HEAD}\r\ncontent-length: ${body.length}\r\n\r\n`;
  const { socket, got } = send(head + body);
  await waitUntil(() => got.text.includes("data: "));
  expect(system.engines[0]?.countInFlight()).toBe(1);
  socket.destroy();
  await waitUntil(() => system.engines[0]?.countInFlight() === 0);
});

test("a key revoked while the body is received causes no run", async () => {
  const isolated = await startCallerSystem();
  const size = `content-length: ${JSON_BODY.length}`;
  const head = `${HEAD}\r\n${size}\r\nexpect: 100-continue\r\n\r\n`;
  const { socket, got } = send(head, isolated.callerUrl);
  await waitUntil(() => got.text.includes("100 Continue"));
  await storeConfig(isolated.store, (document) =>
    dropCustomerKeys(document, "demo"),
  );
  await waitUntil(
    async () => (await isolated.api.get("v1/models")).statusCode === 401,
  );
  socket.write(JSON_BODY);
  await waitUntil(() => /HTTP\/1.1 [2-5]/.test(got.text));
  expect(got.text).toContain("HTTP/1.1 401 ");
  expect(got.text).toContain("invalid_key");
  expect(isolated.engines[0]?.runs).toEqual([]);
  await isolated.stop();
});

const countSockets = () =>
  process.getActiveResourcesInfo().filter((name) => name === "TCPSocketWrap")
    .length;

/** Completes the ramp of the cold engine: 8 slots after 56 answers. */
const completeRamp = () => {
  const json = { model: "demo-model", messages: [], max_tokens: 1 };
  return Array.from({ length: 64 }).reduce<Promise<unknown>>(
    (last) => last.then(() => system.api.post("v1/chat/completions", { json })),
    Promise.resolve(),
  );
};

test("misbehaving callers leave no open connections", async () => {
  await completeRamp();
  const before = countSockets();
  const body = JSON_BODY.replace("[]", '[],"max_tokens":2000');
  const streamRequest = `${HEAD}\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
  const abandonStream = async () => {
    const { socket, got } = send(streamRequest);
    await waitUntil(() => got.text.includes("data: "));
    socket.resetAndDestroy();
  };
  await Array.from({ length: 8 }).reduce<Promise<void>>(
    (before) => before.then(abandonStream),
    Promise.resolve(),
  );
  const malformed = [
    "GET",
    `${HEAD}\r\ncontent-length: 9\r\n\r\n{`,
    "\0\0\0\r\n\r\n",
  ];
  malformed.forEach((text) => {
    send(text).socket.end();
  });
  await waitUntil(() => countSockets() <= before);
  await waitUntil(() => system.engines[0]?.countInFlight() === 0);
});
