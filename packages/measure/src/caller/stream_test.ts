import { once } from "node:events";
import { type IncomingMessage, request } from "node:http";
import { afterAll, afterEach, beforeAll, expect, test } from "vitest";
import { storeConfig } from "../support/store_config.ts";
import { waitUntil } from "../support/wait_until.ts";
import { dropCustomerKeys } from "./drop_customer_keys.ts";
import { startCallerSystem } from "./start_caller_system.ts";

const CHAT = "v1/chat/completions";
const chat = { model: "demo-model", messages: [], max_tokens: 20 };

let system: Awaited<ReturnType<typeof startCallerSystem>>;
beforeAll(async () => {
  system = await startCallerSystem();
});
afterEach(() => {
  system.engines[0]?.setFaults({
    cutAfterTokens: undefined,
    hasWrongRequestId: false,
    failStatus: undefined,
  });
});
afterAll(() => system.stop());

const openStream = async (url: string, tokens: number) => {
  const { hostname, port } = new URL(url);
  const req = request({ hostname, port, path: `/${CHAT}`, method: "POST" });
  req.setHeader("authorization", "Bearer demo-key");
  req.setHeader("x-gooseberryline-profile", "long");
  req.end(JSON.stringify({ ...chat, stream: true, max_tokens: tokens }));
  const [res] = (await once(req, "response")) as [IncomingMessage];
  return res;
};

const readText = async (res: IncomingMessage) => {
  const parts: string[] = [];
  res.on("data", (chunk: Buffer) => parts.push(chunk.toString()));
  res.resume();
  await once(res, "end");
  return parts.join("");
};

test("an interrupted stream ends with an error event instead of [DONE]", async () => {
  system.engines[0]?.setFaults({ cutAfterTokens: 5 });
  const { body } = await system.api.post(CHAT, {
    json: { ...chat, stream: true },
  });
  const events = body.trim().split("\n\n");
  expect(events).toHaveLength(6);
  expect(events.at(-1)).toMatch(/^event: error\ndata: \{"error":\{/);
  expect(events.at(-1)).toContain('"run":"may have run"');
  expect(body).not.toContain("[DONE]");
});

test("the answer to another request is not passed to the caller", async () => {
  system.engines[0]?.setFaults({ hasWrongRequestId: true });
  const answers = await Promise.all(
    [false, true].map((stream) =>
      system.api.post(CHAT, { json: { ...chat, stream } }),
    ),
  );
  answers.forEach(({ statusCode, body }) => {
    expect(statusCode).toBe(503);
    expect(body).toContain("answer_mismatch");
    expect(body).not.toContain("word");
  });
});

test("a client error of the engine is passed on", async () => {
  system.engines[0]?.setFaults({ failStatus: 422 });
  const { statusCode, body } = await system.api.post(CHAT, { json: chat });
  expect(statusCode).toBe(422);
  expect(body).toBe("{}");
});

test("the idempotency key of a non-idempotent request is forwarded", async () => {
  const headers = {
    "x-gooseberryline-profile": "once",
    "idempotency-key": "order-7",
  };
  await system.api.post(CHAT, { json: chat, headers });
  expect(system.engines[0]?.runs.at(-1)?.headers).toMatchObject({
    "idempotency-key": "order-7",
  });
});

test("a slow reader applies backpressure and gets the complete answer", async () => {
  const tokens = 40_000;
  const fastSystem = await startCallerSystem({ engine: { tokenMs: 0 } });
  const res = await openStream(fastSystem.callerUrl, tokens);
  res.pause();
  await waitUntil(() => fastSystem.engines[0]?.countBlockedStreams() === 1);
  const events = (await readText(res)).trim().split("\n\n");
  await fastSystem.stop();
  expect(events).toHaveLength(tokens + 1);
  expect(events.at(-1)).toBe("data: [DONE]");
});

test("a planned stop waits for a slow reader", async () => {
  const tokens = 40_000;
  const fast = await startCallerSystem({ engine: { tokenMs: 0 } });
  const res = await openStream(fast.callerUrl, tokens);
  res.pause();
  await waitUntil(() => fast.engines[0]?.countBlockedStreams() === 1);
  const stopping = fast.stop();
  const text = await readText(res);
  await stopping;
  expect(text.trim().split("\n\n")).toHaveLength(tokens + 1);
  expect(text).toContain("data: [DONE]");
});

test("revoking a key ends its streams", async () => {
  const isolated = await startCallerSystem({ engine: { tokenMs: 5 } });
  const res = await openStream(isolated.callerUrl, 20_000);
  const text = readText(res);
  await storeConfig(isolated.store, (document) =>
    dropCustomerKeys(document, "demo"),
  );
  const events = (await text).trim().split("\n\n");
  expect(events.length).toBeLessThan(20_000);
  expect(events.at(-1)).toContain("event: error");
  expect(events.at(-1)).toContain("key_withdrawn");
  await waitUntil(() => isolated.engines[0]?.countInFlight() === 0);
  await isolated.stop();
});
