import { request } from "node:http";
import { afterAll, beforeAll, expect, test } from "vitest";
import { startDoor } from "./start_door.ts";

let door: Awaited<ReturnType<typeof startDoor>>;
beforeAll(async () => {
  door = await startDoor();
});
afterAll(() => door.stop());

/** Sends a path exactly as it stands. */
const getRaw = (path: string): Promise<number> =>
  new Promise((resolve, reject) => {
    const { hostname, port } = new URL(door.callerUrl);
    const headers = { authorization: "Bearer demo-key" };
    const req = request({ hostname, port, path, headers }, (res) => {
      res.resume();
      resolve(res.statusCode ?? 0);
    });
    req.on("error", reject);
    req.end();
  });

const once = { "x-gooseberryline-profile": "once" };

test("method, path, query, body and headers go through", async () => {
  const answer = await door.api.put(
    "services/stock/glue%20pots?kind=hide&n=1",
    {
      body: "twelve",
      headers: { "x-shop": "7" },
    },
  );
  expect(answer.statusCode).toBe(200);
  expect(answer.headers["set-cookie"]).toBeUndefined();
  expect(door.service.calls.at(-1)).toMatchObject({
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
  const before = door.service.calls.length;
  expect(await getRaw(path)).toBe(400);
  expect(door.service.calls.length).toBe(before);
});

test("a model is no plain service", async () => {
  expect(await getRaw("/services/demo-model/x")).toBe(404);
  expect(await getRaw("/services/none/x")).toBe(404);
});

test("a non-idempotent call runs once and keeps its answer", async () => {
  door.service.setStatus(500);
  const before = door.service.calls.length;
  const answer = await door.api.post("services/stock/order", {
    headers: { ...once, "idempotency-key": "order-1" },
  });
  door.service.setStatus(200);
  expect(answer.statusCode).toBe(500);
  expect(JSON.parse(answer.body)).toEqual({ method: "POST", url: "/order" });
  expect(door.service.calls.length).toBe(before + 1);
  const { headers } = door.service.calls.at(-1) ?? {};
  expect(headers).toMatchObject({ "idempotency-key": "order-1" });
});

test("an idempotent call that keeps failing is refused", async () => {
  door.service.setStatus(500);
  const before = door.service.calls.length;
  const answer = await door.api.get("services/stock/order");
  door.service.setStatus(200);
  expect(answer.statusCode).toBe(503);
  expect(JSON.parse(answer.body)).toMatchObject({
    error: { run: "may have run", peer: "stock-0" },
  });
  expect(door.service.calls.length).toBeGreaterThan(before + 1);
});

test("an open service has a rate of its own", async () => {
  const anyone = door.api.extend({ headers: { authorization: undefined } });
  const open = await Promise.all(
    Array.from({ length: 6 }, () => anyone.get("services/open/x")),
  );
  const statuses = open.map(({ statusCode }) => statusCode);
  expect(statuses.filter((status) => status === 200).length).toBe(2);
  expect(statuses.filter((status) => status === 429).length).toBe(4);
  expect((await anyone.get("services/stock/x")).statusCode).toBe(401);
  expect((await door.api.get("services/stock/x")).statusCode).toBe(200);
});
