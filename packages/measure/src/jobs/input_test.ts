import { afterAll, beforeAll, expect, test } from "vitest";
import { startDoor } from "../caller/start_door.ts";
import { BatchClient } from "../support/batch_client.ts";

type Refused = { readonly error: { readonly code: string; message: string } };

const BODY = { model: "demo-model", messages: [] };
const URL = "/v1/chat/completions";
const item = (custom_id: string, fields: object = {}) =>
  JSON.stringify({
    custom_id,
    method: "POST",
    url: URL,
    body: BODY,
    ...fields,
  });

const control: { door: Awaited<ReturnType<typeof startDoor>> | undefined } = {
  door: undefined,
};
const getDoor = () => {
  if (control.door === undefined) {
    throw new Error("not started");
  }
  return control.door;
};
const client = () => new BatchClient(getDoor().api);
const refuse = async (content: string, fields: object = {}) => {
  const id = await client().upload(content);
  const { status, body } = await client().create(id, { ...fields });
  const { code, message } = (body as unknown as Refused).error;
  return { status, code, message };
};

beforeAll(async () => {
  control.door = await startDoor();
});
afterAll(() => getDoor().stop());

test.each([
  ["broken JSON", `${item("a")}\n{"custom_id":`, "invalid_json_line", "line 2"],
  [
    "a repeated id",
    [item("a"), item("b"), item("a")].join("\n"),
    "duplicate_custom_id",
    "line 3",
  ],
  ["an empty file", "\n\n", "empty_file", "line 1"],
  [
    "no id",
    `${item("a")}\n\n{"url":"${URL}","body":{}}`,
    "missing_custom_id",
    "line 3",
  ],
  [
    "another endpoint",
    item("a", { url: "/v1/embeddings" }),
    "invalid_url",
    "line 1",
  ],
  ["another method", item("a", { method: "GET" }), "invalid_method", "line 1"],
  [
    "a body that is no object",
    item("a", { body: [] }),
    "invalid_body",
    "line 1",
  ],
  [
    "two models",
    `${item("a")}\n${item("b", { body: { model: "x" } })}`,
    "mismatched_model",
    "line 2",
  ],
  ["no model", item("a", { body: {} }), "missing_model", "line 1"],
])("input with %s is refused whole", async (_, content, code, place) => {
  const refused = await refuse(content);
  expect(refused).toMatchObject({ status: 400, code });
  expect(refused.message).toContain(place);
});

test("an unknown model, profile or file is refused", async () => {
  const unknown = await refuse(item("a", { body: { model: "none" } }));
  const profile = await refuse(item("a"), { metadata: { profile: "none" } });
  const { status } = await client().create("file-0");
  expect(unknown).toMatchObject({ status: 404, code: "model_not_found" });
  expect(profile).toMatchObject({ status: 400, code: "unknown_profile" });
  expect(status).toBe(404);
});

test("a profile's limits hold for items, their size and models", async () => {
  const metadata = { profile: "small" };
  const many = Array.from({ length: 6 }, (_, at) =>
    item(`${at}`, { body: { model: "none" } }),
  );
  const long = item("a", { body: { model: "none", text: "x".repeat(500) } });
  const codes = await Promise.all(
    [item("a"), many.join("\n"), long].map(
      async (content) => (await refuse(content, { metadata })).code,
    ),
  );
  expect(codes).toEqual([
    "model_not_allowed",
    "too_many_items",
    "line_too_long",
  ]);
});

test("a refused batch leaves no job behind", async () => {
  const list = await getDoor().api.get("v1/batches").json<{ data: [] }>();
  expect(list.data).toEqual([]);
});

test("batches are listed newest first, page by page", async () => {
  const id = await client().upload(item("a"));
  const made = [
    (await client().create(id)).body.id,
    (await client().create(id)).body.id,
    (await client().create(id)).body.id,
  ];
  type Page = { data: { id: string }[]; has_more: boolean; last_id: string };
  const read = (query: string) =>
    getDoor().api.get(`v1/batches?${query}`).json<Page>();
  const first = await read("limit=2");
  const second = await read(`limit=2&after=${first.last_id}`);
  const ids = [...first.data, ...second.data].map((batch) => batch.id);
  expect(ids.toSorted()).toEqual(made.toSorted());
  expect([first.has_more, second.has_more]).toEqual([true, false]);
});

test("a resent batch is the same one, another input a conflict", async () => {
  const id = await client().upload(item("a"));
  const other = await client().upload(item("b"));
  const first = await client().create(id, { key: "k" });
  const again = await client().create(id, { key: "k" });
  const wrong = await client().create(other, { key: "k" });
  expect(again.body.id).toBe(first.body.id);
  expect(wrong.status).toBe(409);
});
