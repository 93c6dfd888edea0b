import { afterAll, afterEach, beforeAll, expect, test } from "vitest";
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
