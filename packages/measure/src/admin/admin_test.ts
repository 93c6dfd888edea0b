import { afterAll, beforeAll, expect, test } from "vitest";
import { type AdminSystem, startAdmin } from "../support/start_admin.ts";
import { waitUntil } from "../support/wait_until.ts";

type Config = {
  readonly revision: number;
  readonly document: { readonly customers: Record<string, object> };
};

let system: AdminSystem;

beforeAll(async () => {
  system = await startAdmin();
});

afterAll(() => system.stop());

const readConfig = async () => (await system.viewer.get<Config>("config")).body;

const sendConfig = (json: unknown, revision: number) =>
  system.operator.put<{ readonly error?: { readonly code: string } }>(
    "config",
    { json, headers: { "if-match": `"${revision}"` } },
  );

const sendWithKey = (key: string) =>
  system.api.post("v1/chat/completions", {
    json: { model: "demo-model", messages: [] },
    headers: { authorization: `Bearer ${key}` },
    throwHttpErrors: false,
  });

test("requests need a token, and a viewer has read-only access", async () => {
  const unauthorized = await system.viewer.get("config", {
    headers: { authorization: "Bearer nobody" },
  });
  expect(unauthorized.statusCode).toBe(401);
  const response = await system.viewer.put("config", { json: {} });
  expect(response.statusCode).toBe(403);
});

test("a PUT requires If-Match", async () => {
  const { statusCode } = await system.operator.put("config", { json: {} });
  expect(statusCode).toBe(428);
});

test("a PUT with an outdated revision returns 409", async () => {
  const { revision, document } = await readConfig();
  expect((await sendConfig(document, revision)).statusCode).toBe(200);
  expect((await sendConfig(document, revision)).statusCode).toBe(409);
});

test("an invalid document is rejected with a list of all faults", async () => {
  const { revision, document } = await readConfig();
  const invalidDocument = {
    ...document,
    customers: { demo: { ...document.customers.demo, rate: -1, colour: 1 } },
  };
  const { statusCode, body } = await sendConfig(invalidDocument, revision);
  expect(statusCode).toBe(400);
  expect(body).toMatchObject({
    error: {
      faults: [{ path: "customers.demo.rate" }, { path: "customers.demo" }],
    },
  });
  expect((await readConfig()).revision).toBe(revision);
});

test("a write succeeds when the response of the store is lost", async () => {
  const { revision, document } = await readConfig();
  system.store.setFaults({ loseAnswers: 1 });
  expect((await sendConfig(document, revision)).statusCode).toBe(200);
  expect((await readConfig()).revision).toBe(revision + 1);
});

test("a key is valid from its creation to its revocation", async () => {
  const issued = await system.operator.post<{
    readonly id: string;
    readonly key: string;
  }>("customers/demo/keys");
  const { id, key } = issued.body;
  await waitUntil(async () => (await sendWithKey(key)).statusCode === 200);
  await system.operator.delete(`customers/demo/keys/${id}`);
  await waitUntil(async () => (await sendWithKey(key)).statusCode === 401);
  const stored = JSON.stringify(await readConfig());
  expect(stored).not.toContain(key);
  expect(system.logLines.join("")).not.toContain(key);
});

test("concurrent changes by operators are all applied", async () => {
  const issued = await Promise.all(
    Array.from({ length: 5 }, () =>
      system.operator.post<{ readonly id: string }>("customers/demo/keys"),
    ),
  );
  const stored = JSON.stringify(await readConfig());
  issued.forEach(({ body }) => {
    expect(stored).toContain(body.id);
  });
});

test("a data centre is evacuated and returned to service", async () => {
  const out = await system.operator.post("data-centres/a/take-out");
  expect(out.body).toMatchObject({ id: "a", state: "out" });
  const back = await system.operator.post("data-centres/a/bring-back");
  expect(back.body).toMatchObject({ id: "a", state: "in" });
  const unknown = await system.operator.post("data-centres/zz/take-out");
  expect(unknown.statusCode).toBe(404);
});

test("run records and the burn report include a completed request", async () => {
  await system.api.post("v1/chat/completions", {
    json: { model: "demo-model", messages: [] },
    headers: { authorization: "Bearer demo-key" },
  });
  const { body: runs } = await system.viewer.get<{
    readonly runs: readonly object[];
  }>("runs?customer=demo");
  expect(runs.runs[0]).toMatchObject({ outcome: "completed" });
  const { body: burn } = await system.viewer.get("reports/burn");
  expect(burn).toMatchObject({ reached: ["one"], missing: [] });
  expect(JSON.stringify(burn)).toContain('"window":"3d"');
});
