import { afterAll, beforeAll, expect, test } from "vitest";
import { startCallerSystem } from "../caller/start_caller_system.ts";
import { BatchClient } from "../support/batch_client.ts";

type ErrorBody = { readonly error: { readonly code: string; message: string } };

const BODY = { model: "demo-model", messages: [] };
const URL = "/v1/chat/completions";
const buildItem = (custom_id: string, fields: object = {}) =>
  JSON.stringify({
    custom_id,
    method: "POST",
    url: URL,
    body: BODY,
    ...fields,
  });

const started: {
  system: Awaited<ReturnType<typeof startCallerSystem>> | undefined;
} = {
  system: undefined,
};
const getSystem = () => {
  if (started.system === undefined) {
    throw new Error("not started");
  }
  return started.system;
};
const createClient = () => new BatchClient(getSystem().api);
const createRefusedBatch = async (content: string, fields: object = {}) => {
  const id = await createClient().upload(content);
  const { status, body } = await createClient().create(id, { ...fields });
  const { code, message } = (body as unknown as ErrorBody).error;
  return { status, code, message };
};

beforeAll(async () => {
  started.system = await startCallerSystem();
});
afterAll(() => getSystem().stop());

test.each([
  [
    "broken JSON",
    `${buildItem("a")}\n{"custom_id":`,
    "invalid_json_line",
    "line 2",
  ],
  [
    "a repeated id",
    [buildItem("a"), buildItem("b"), buildItem("a")].join("\n"),
    "duplicate_custom_id",
    "line 3",
  ],
  ["an empty file", "\n\n", "empty_file", "line 1"],
  [
    "no id",
    `${buildItem("a")}\n\n{"url":"${URL}","body":{}}`,
    "missing_custom_id",
    "line 3",
  ],
  [
    "another endpoint",
    buildItem("a", { url: "/v1/embeddings" }),
    "invalid_url",
    "line 1",
  ],
  [
    "another method",
    buildItem("a", { method: "GET" }),
    "invalid_method",
    "line 1",
  ],
  [
    "a body that is no object",
    buildItem("a", { body: [] }),
    "invalid_body",
    "line 1",
  ],
  [
    "two models",
    `${buildItem("a")}\n${buildItem("b", { body: { model: "x" } })}`,
    "mismatched_model",
    "line 2",
  ],
  ["no model", buildItem("a", { body: {} }), "missing_model", "line 1"],
])(
  "an input file with %s is refused as a whole",
  async (_, content, code, lineText) => {
    const refused = await createRefusedBatch(content);
    expect(refused).toMatchObject({ status: 400, code });
    expect(refused.message).toContain(lineText);
  },
);

test("an unknown model, profile or file is refused", async () => {
  const unknown = await createRefusedBatch(
    buildItem("a", { body: { model: "none" } }),
  );
  const profile = await createRefusedBatch(buildItem("a"), {
    metadata: { profile: "none" },
  });
  const { status } = await createClient().create("file-0");
  expect(unknown).toMatchObject({ status: 404, code: "model_not_found" });
  expect(profile).toMatchObject({ status: 400, code: "unknown_profile" });
  expect(status).toBe(404);
});

test("a profile limits the number of items, their size and their models", async () => {
  const metadata = { profile: "small" };
  const manyItems = Array.from({ length: 6 }, (_, at) =>
    buildItem(`${at}`, { body: { model: "none" } }),
  );
  const longItem = buildItem("a", {
    body: { model: "none", text: "x".repeat(500) },
  });
  const codes = await Promise.all(
    [buildItem("a"), manyItems.join("\n"), longItem].map(
      async (content) => (await createRefusedBatch(content, { metadata })).code,
    ),
  );
  expect(codes).toEqual([
    "model_not_allowed",
    "too_many_items",
    "line_too_long",
  ]);
});

test("a refused batch leaves no job behind", async () => {
  const list = await getSystem().api.get("v1/batches").json<{ data: [] }>();
  expect(list.data).toEqual([]);
});

test("batches are listed newest first, page by page", async () => {
  const id = await createClient().upload(buildItem("a"));
  const createdIds = [
    (await createClient().create(id)).body.id,
    (await createClient().create(id)).body.id,
    (await createClient().create(id)).body.id,
  ];
  type BatchPage = {
    data: { id: string }[];
    has_more: boolean;
    last_id: string;
  };
  const readPage = (query: string) =>
    getSystem().api.get(`v1/batches?${query}`).json<BatchPage>();
  const first = await readPage("limit=2");
  const second = await readPage(`limit=2&after=${first.last_id}`);
  const ids = [...first.data, ...second.data].map((batch) => batch.id);
  expect(ids.toSorted()).toEqual(createdIds.toSorted());
  expect([first.has_more, second.has_more]).toEqual([true, false]);
});

test("a batch sent again returns the first one, and another input is a conflict", async () => {
  const id = await createClient().upload(buildItem("a"));
  const other = await createClient().upload(buildItem("b"));
  const first = await createClient().create(id, { key: "k" });
  const again = await createClient().create(id, { key: "k" });
  const conflicting = await createClient().create(other, { key: "k" });
  expect(again.body.id).toBe(first.body.id);
  expect(conflicting.status).toBe(409);
});
