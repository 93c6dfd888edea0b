import { afterAll, beforeAll, expect, test } from "vitest";
import { storeConfig } from "../support/store_config.ts";
import { waitUntil } from "../support/wait_until.ts";
import { dropCustomerKeys } from "./drop_customer_keys.ts";
import { startCallerSystem } from "./start_caller_system.ts";

const CHAT = "v1/chat/completions";
const SECRET = "a prompt that no log may show";
const body = {
  model: "demo-model",
  messages: [{ role: "user", content: SECRET }],
};

type RefusalBody = {
  readonly error: { readonly code: string; message: string };
};

let system: Awaited<ReturnType<typeof startCallerSystem>>;
beforeAll(async () => {
  system = await startCallerSystem();
});
afterAll(() => system.stop());

const post = (json: unknown, headers: Record<string, string> = {}) =>
  system.api.post(CHAT, { json, headers, responseType: "json" });

const sendRefused = async (json: unknown, headers?: Record<string, string>) => {
  const { statusCode, body } = await post(json, headers);
  const { code, message } = (body as RefusalBody).error;
  return { status: statusCode, code, message };
};

test("all invalid keys get the same error response", async () => {
  const keys = ["Bearer nobody", "Bearer", "demo-key", "Basic demo-key", ""];
  const answers = await Promise.all(
    keys.map((authorization) => post(body, { authorization })),
  );
  expect(answers.map(({ statusCode }) => statusCode)).toEqual(
    keys.map(() => 401),
  );
  const bodies = answers.map((answer) => JSON.stringify(answer.body));
  expect(new Set(bodies).size).toBe(1);
});

test("the key is neither forwarded to upstreams nor logged", async () => {
  const headers = { cookie: "demo-key", "x-api-key": "demo-key" };
  await post(body, headers);
  await system.api.get("services/stock/a", { headers });
  const seen = JSON.stringify([system.engines[0]?.runs, system.service.calls]);
  expect(system.service.calls.length).toBeGreaterThan(0);
  expect(seen).toContain(SECRET);
  expect(seen).not.toContain("demo-key");
  expect(system.logLines.join("")).toContain('"customer":"demo"');
  expect(system.logLines.join("")).not.toContain("demo-key");
  expect(system.logLines.join("")).not.toContain(SECRET);
});

test.each([
  ["an unknown model", { ...body, model: "x" }, 404, "model"],
  ["a model of a wrong type", { ...body, model: 1 }, 400, "model"],
  ["an inherited name", { ...body, model: "constructor" }, 404, "model"],
  ["messages of a wrong type", { ...body, messages: "x" }, 400, "messages"],
  ["no messages", { model: "demo-model" }, 400, "messages"],
  ["a wrong stream", { ...body, stream: "yes" }, 400, "stream"],
  ["a negative limit", { ...body, max_tokens: -1 }, 400, "max_tokens"],
  ["too many tokens", { ...body, max_tokens: 5_000 }, 400, "max_tokens"],
  ["a list", [1], 400, "JSON object"],
])(
  "%s is refused with the name of the field",
  async (_name, json, status, field) => {
    const refused = await sendRefused(json);
    expect(refused.status).toBe(status);
    expect(refused.message).toContain(field);
  },
);

test("broken JSON is refused", async () => {
  const answer = await system.api.post(CHAT, { body: '{"model":' });
  expect(answer.statusCode).toBe(400);
  expect(answer.body).toContain("invalid_json");
});

test("the limits of a profile are enforced", async () => {
  const small = { "x-gooseberryline-profile": "small" };
  const large = { ...body, filler: "x".repeat(500) };
  expect(await sendRefused(large, small)).toMatchObject({ status: 413 });
  expect(await sendRefused(body, small)).toMatchObject({
    status: 403,
    code: "model_not_allowed",
  });
});

test("the error for an unknown profile names the header", async () => {
  const refused = await sendRefused(body, {
    "x-gooseberryline-profile": "gold",
  });
  expect(refused).toMatchObject({ status: 400, code: "unknown_profile" });
  expect(refused.message).toContain("x-gooseberryline-profile");
});

test("the deadline header can only shorten the deadline", async () => {
  const long = { ...body, max_tokens: 4_000 };
  const late = await sendRefused(long, { "x-deadline-ms": "50" });
  const wrong = await sendRefused(body, { "x-deadline-ms": "1e3" });
  expect(late).toMatchObject({ status: 504, code: "deadline_exceeded" });
  expect(wrong).toMatchObject({ status: 400, code: "invalid_header" });
});

test("a valid request id is echoed, an invalid one is replaced", async () => {
  const given = await post(body, { "x-request-id": "mine-1" });
  const generated = await post(body, { "x-request-id": "no spaces" });
  expect(given.headers["x-request-id"]).toBe("mine-1");
  expect(generated.headers["x-request-id"]).toMatch(/^[0-9a-f-]{36}$/);
});

test("files and batches of another customer return 404", async () => {
  const form = new FormData();
  form.set("purpose", "batch");
  const line = { custom_id: "1", method: "POST", url: `/${CHAT}`, body };
  form.set("file", new Blob([JSON.stringify(line)]), "input.jsonl");
  const uploaded = await system.api.post("v1/files", { body: form });
  const { id } = JSON.parse(uploaded.body) as { id: string };
  const other = { authorization: "Bearer other-key" };
  const json = { input_file_id: id, endpoint: `/${CHAT}` };
  const batch = await system.api.post("v1/batches", { json });
  const paths = [
    `v1/files/${id}`,
    `v1/files/${id}/content`,
    `v1/batches/${(JSON.parse(batch.body) as { id: string }).id}`,
  ];
  const answers = await Promise.all(
    paths.flatMap((path) => [
      system.api.get(path),
      system.api.get(path, { headers: other }),
    ]),
  );
  const statuses = answers.map(({ statusCode }) => statusCode);
  expect(statuses).toEqual([200, 404, 200, 404, 200, 404]);
});

test("a revoked key gets the same error as an unknown one", async () => {
  const headers = { authorization: "Bearer other-key" };
  expect((await post(body, headers)).statusCode).toBe(200);
  await storeConfig(system.store, (document) =>
    dropCustomerKeys(document, "other"),
  );
  await waitUntil(async () => (await post(body, headers)).statusCode === 401);
  const unknown = await post(body, { authorization: "Bearer nobody" });
  expect((await post(body, headers)).body).toEqual(unknown.body);
});

test("the completions endpoint accepts a prompt", async () => {
  const json = { model: "demo-model", prompt: "Is hide glue" };
  const answer = await system.api.post("v1/completions", { json });
  const withoutPrompt = await system.api.post("v1/completions", { json: body });
  expect(answer.statusCode).toBe(200);
  expect(system.engines[0]?.runs.at(-1)?.prompt).toContain("Is hide glue");
  expect(withoutPrompt.statusCode).toBe(400);
  expect(withoutPrompt.body).toContain("prompt: is needed");
});
