import { request } from "node:http";
import { afterAll, beforeAll, expect, test } from "vitest";
import { startCallerSystem } from "./start_caller_system.ts";

let system: Awaited<ReturnType<typeof startCallerSystem>>;
beforeAll(async () => {
  system = await startCallerSystem();
});
afterAll(() => system.stop());

/** Sends a request without normalizing its path. */
const getRaw = (path: string): Promise<number> =>
  new Promise((resolve, reject) => {
    const { hostname, port } = new URL(system.callerUrl);
    const headers = { authorization: "Bearer demo-key" };
    const req = request({ hostname, port, path, headers }, (res) => {
      res.resume();
      resolve(res.statusCode ?? 0);
    });
    req.on("error", reject);
    req.end();
  });

const nonIdempotent = { "x-gooseberryline-profile": "once" };

test("method, path, query, body and headers are forwarded", async () => {
  const answer = await system.api.put(
    "services/stock/glue%20pots?kind=hide&n=1",
    {
      body: "twelve",
      headers: { "x-shop": "7" },
    },
  );
  expect(answer.statusCode).toBe(200);
  expect(answer.headers["set-cookie"]).toBeUndefined();
  expect(system.service.calls.at(-1)).toMatchObject({
    method: "PUT",
    url: "/glue%20pots?kind=hide&n=1",
    body: "twelve",
    headers: { "x-shop": "7" },
  });
});

test.each([
  "/services/stock/../admin",
  "/services/stock/a/%2e%2e/b",
  "/services/stock/a%2fb",
  "/services/stock/a%5cb",
  "/services/stock/a%00b",
  "/services/stock/%zz",
  "/services/stock/a?key=demo-key",
])("%s is refused", async (path) => {
  const before = system.service.calls.length;
  expect(await getRaw(path)).toBe(400);
  expect(system.service.calls.length).toBe(before);
});

test("a model is not available as a plain service", async () => {
  expect(await getRaw("/services/demo-model/x")).toBe(404);
  expect(await getRaw("/services/none/x")).toBe(404);
});

test("a non-idempotent call runs once and its error response is passed on", async () => {
  system.service.setStatus(500);
  const before = system.service.calls.length;
  const answer = await system.api.post("services/stock/order", {
    headers: { ...nonIdempotent, "idempotency-key": "order-1" },
  });
  system.service.setStatus(200);
  expect(answer.statusCode).toBe(500);
  expect(JSON.parse(answer.body)).toEqual({ method: "POST", url: "/order" });
  expect(system.service.calls.length).toBe(before + 1);
  const { headers } = system.service.calls.at(-1) ?? {};
  expect(headers).toMatchObject({ "idempotency-key": "order-1" });
});

test("an idempotent call that keeps failing is refused", async () => {
  system.service.setStatus(500);
  const before = system.service.calls.length;
  const answer = await system.api.get("services/stock/order");
  system.service.setStatus(200);
  expect(answer.statusCode).toBe(503);
  expect(JSON.parse(answer.body)).toMatchObject({
    error: { run: "may have run", peer: "stock-0" },
  });
  expect(system.service.calls.length).toBeGreaterThan(before + 1);
});

test("a service open to all has its own rate limit", async () => {
  const anonymousApi = system.api.extend({
    headers: { authorization: undefined },
  });
  const responses = await Promise.all(
    Array.from({ length: 6 }, () => anonymousApi.get("services/open/x")),
  );
  const statuses = responses.map(({ statusCode }) => statusCode);
  expect(statuses.filter((status) => status === 200).length).toBe(2);
  expect(statuses.filter((status) => status === 429).length).toBe(4);
  expect((await anonymousApi.get("services/stock/x")).statusCode).toBe(401);
  expect((await system.api.get("services/stock/x")).statusCode).toBe(200);
});
