import OpenAI, { APIError, toFile } from "openai";
import { afterAll, beforeAll, expect, test } from "vitest";
import { waitUntil } from "../support/wait_until.ts";
import { startCallerSystem } from "./start_caller_system.ts";

const ITEMS = 12;
const model = "demo-model";
const messages = [{ role: "user" as const, content: "Is hide glue in stock?" }];

let system: Awaited<ReturnType<typeof startCallerSystem>>;
let client: OpenAI;
beforeAll(async () => {
  system = await startCallerSystem({ engine: { tokenMs: 2 } });
  client = new OpenAI({
    baseURL: `${system.callerUrl}/v1`,
    apiKey: "demo-key",
    maxRetries: 0,
  });
});
afterAll(() => system.stop());

const buildInputFile = (maxTokens: number) => {
  const lines = Array.from({ length: ITEMS }, (_, index) =>
    JSON.stringify({
      custom_id: `item-${index}`,
      method: "POST",
      url: "/v1/chat/completions",
      body: { model, messages, max_tokens: maxTokens },
    }),
  );
  return toFile(Buffer.from(lines.join("\n")), "input.jsonl");
};

const createBatch = async (maxTokens: number) => {
  const input = await client.files.create({
    file: await buildInputFile(maxTokens),
    purpose: "batch",
  });
  return client.batches.create({
    input_file_id: input.id,
    endpoint: "/v1/chat/completions",
    completion_window: "24h",
    metadata: { profile: "standard" },
  });
};

const waitForStatus = (id: string, status: string) =>
  waitUntil(async () => (await client.batches.retrieve(id)).status === status);

test("the client lists the models", async () => {
  const { data } = await client.models.list();
  expect(data.map(({ id }) => id)).toEqual([model]);
});

test("the client gets a non-streamed answer", async () => {
  const answer = await client.chat.completions.create({
    model,
    messages,
    max_tokens: 3,
  });
  expect(answer.choices[0]?.message.content).toBe("word word word ");
});

test("the client gets a streamed answer", async () => {
  const stream = await client.chat.completions.create({
    model,
    messages,
    max_tokens: 3,
    stream: true,
  });
  const parts: string[] = [];
  for await (const chunk of stream) {
    parts.push(chunk.choices[0]?.delta.content ?? "");
  }
  expect(parts.join("")).toBe("word word word ");
});

test("the client reports an interrupted stream as an error", async () => {
  system.engines[0]?.setFaults({ cutAfterTokens: 2 });
  const stream = await client.chat.completions.create({
    model,
    messages,
    stream: true,
  });
  const read = async () => {
    const parts: unknown[] = [];
    for await (const chunk of stream) {
      parts.push(chunk);
    }
    return parts;
  };
  await expect(read()).rejects.toThrow(APIError);
  system.engines[0]?.setFaults({ cutAfterTokens: undefined });
});

test("the client reports a refusal as its error type", async () => {
  const refused = client.chat.completions.create({ model: "none", messages });
  await expect(refused).rejects.toMatchObject({
    status: 404,
    code: "model_not_found",
  });
});

test("the client runs a batch and reads its output", async () => {
  const batch = await createBatch(2);
  await waitForStatus(batch.id, "completed");
  const ended = await client.batches.retrieve(batch.id);
  expect(ended.request_counts).toEqual({
    total: ITEMS,
    completed: ITEMS,
    failed: 0,
  });
  const output = await client.files.content(ended.output_file_id ?? "");
  const lines = (await output.text())
    .trim()
    .split("\n")
    .map((line) => JSON.parse(line) as { custom_id: string });
  const ids = new Set(lines.map(({ custom_id }) => custom_id));
  expect(lines).toHaveLength(ITEMS);
  expect(ids.size).toBe(ITEMS);
});

test("the client cancels a batch and lists it", async () => {
  const batch = await createBatch(1_000);
  await client.batches.cancel(batch.id);
  await waitForStatus(batch.id, "cancelled");
  const listed = await client.batches.list();
  expect(listed.data.map(({ id }) => id)).toContain(batch.id);
});
