import { once } from "node:events";
import { type IncomingMessage, request } from "node:http";
import { afterAll, afterEach, beforeAll, expect, test } from "vitest";
import { putConfig } from "../support/put_config.ts";
import { waitUntil } from "../support/wait_until.ts";
import { dropKeys } from "./drop_keys.ts";
import { startDoor } from "./start_door.ts";

const CHAT = "v1/chat/completions";
const chat = { model: "demo-model", messages: [], max_tokens: 20 };

let door: Awaited<ReturnType<typeof startDoor>>;
beforeAll(async () => {
  door = await startDoor();
});
afterEach(() => {
  door.engines[0]?.setFaults({
    cutAfterTokens: undefined,
    isCrossed: false,
    failStatus: undefined,
  });
});
afterAll(() => door.stop());

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

test("a cut stream ends with an error and no end mark", async () => {
  door.engines[0]?.setFaults({ cutAfterTokens: 5 });
  const { body } = await door.api.post(CHAT, {
    json: { ...chat, stream: true },
  });
  const events = body.trim().split("\n\n");
  expect(events).toHaveLength(6);
  expect(events.at(-1)).toMatch(/^event: error\ndata: \{"error":\{/);
  expect(events.at(-1)).toContain('"run":"may have run"');
  expect(body).not.toContain("[DONE]");
});

test("another request's answer reaches no caller", async () => {
  door.engines[0]?.setFaults({ isCrossed: true });
  const answers = await Promise.all(
    [false, true].map((stream) =>
      door.api.post(CHAT, { json: { ...chat, stream } }),
    ),
  );
  answers.forEach(({ statusCode, body }) => {
    expect(statusCode).toBe(503);
    expect(body).toContain("answer_mismatch");
    expect(body).not.toContain("word");
  });
});

test("the engine's own refusal of a request is passed on", async () => {
  door.engines[0]?.setFaults({ failStatus: 422 });
  const { statusCode, body } = await door.api.post(CHAT, { json: chat });
  expect(statusCode).toBe(422);
  expect(body).toBe("{}");
});

test("an idempotency key goes on with a non-idempotent request", async () => {
  const headers = {
    "x-gooseberryline-profile": "once",
    "idempotency-key": "order-7",
  };
  await door.api.post(CHAT, { json: chat, headers });
  expect(door.engines[0]?.runs.at(-1)?.headers).toMatchObject({
    "idempotency-key": "order-7",
  });
});

test("a slow reader gets the whole answer, a fast engine waits", async () => {
  const tokens = 40_000;
  const fast = await startDoor({ engine: { tokenMs: 0 } });
  const res = await openStream(fast.callerUrl, tokens);
  res.pause();
  await waitUntil(() => fast.engines[0]?.countStalled() === 1);
  const events = (await readText(res)).trim().split("\n\n");
  await fast.stop();
  expect(events).toHaveLength(tokens + 1);
  expect(events.at(-1)).toBe("data: [DONE]");
});

test("a planned stop lets a slow reader finish", async () => {
  const tokens = 40_000;
  const fast = await startDoor({ engine: { tokenMs: 0 } });
  const res = await openStream(fast.callerUrl, tokens);
  res.pause();
  await waitUntil(() => fast.engines[0]?.countStalled() === 1);
  const stopped = fast.stop();
  const text = await readText(res);
  await stopped;
  expect(text.trim().split("\n\n")).toHaveLength(tokens + 1);
  expect(text).toContain("data: [DONE]");
});

test("a withdrawn key ends its open stream", async () => {
  const own = await startDoor({ engine: { tokenMs: 5 } });
  const res = await openStream(own.callerUrl, 20_000);
  const text = readText(res);
  await putConfig(own.store, (document) => dropKeys(document, "demo"));
  const events = (await text).trim().split("\n\n");
  expect(events.length).toBeLessThan(20_000);
  expect(events.at(-1)).toContain("event: error");
  expect(events.at(-1)).toContain("key_withdrawn");
  await waitUntil(() => own.engines[0]?.countInFlight() === 0);
  await own.stop();
});
