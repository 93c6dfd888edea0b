import { connect } from "node:net";
import { CALL_SHAPES } from "@gooseberryline/core";
import { expect, test } from "vitest";
import { ByteBudget } from "../intake/byte_budget.ts";
import { createView } from "../testing/create_view.ts";
import { JOB_ROUTE } from "../testing/job_route.ts";
import { plainDialect } from "../testing/plain_dialect.ts";
import { startListener } from "../testing/start_listener.ts";

const CUSTOMER = { name: "c", keys: ["k"], ratePerSecond: 1, burst: 1 };
const dialect = {
  ...plainDialect,
  parseCallHead: (
    headers: Parameters<typeof plainDialect.parseCallHead>[0],
  ) => ({
    ...plainDialect.parseCallHead(headers),
    key: headers.authorization,
  }),
};

async function start(idleTimeoutMs = 5_000, budget?: ByteBudget) {
  const view = createView("serve");
  view.adoptConfig({
    revision: 1,
    routes: [
      {
        ...JOB_ROUTE,
        host: "h",
        prefix: "/plain/",
        shape: CALL_SHAPES.plain,
        isPublic: false,
      },
    ],
    services: [],
    access: { kind: "customers", customers: [CUSTOMER] },
    limits: {
      headerBytes: 10_000,
      bodyBytes: 100_000,
      headerTimeoutMs: 1_000,
      idleTimeoutMs,
    },
  });
  return {
    view,
    ...(await startListener(view, undefined, { dialect, budget })),
  };
}

/** Sends a part of a body; returns what comes back. */
function sendPart(port: number, key: string, bytes = 100): Promise<string> {
  return new Promise((resolve) => {
    const socket = connect(port, "127.0.0.1");
    socket.on("error", () => undefined);
    socket.once("data", (data) => {
      socket.destroy();
      resolve(data.toString());
    });
    socket.once("close", () => resolve("closed"));
    const head = `POST /plain/x HTTP/1.1\r\nHost: h\r\nAuthorization: ${key}`;
    socket.write(`${head}\r\nContent-Length: 90000\r\n\r\n`);
    socket.write(Buffer.alloc(bytes));
  });
}

test("a request without a key is refused before its body has come", async () => {
  const { listener, port } = await start();
  expect(await sendPart(port, "other")).toContain(" 401 ");
  listener.stop();
});

test("a request over its customer's rate is refused before its body has come", async () => {
  const { view, listener, port } = await start();
  while (view.quotas.canTake("c", CUSTOMER, view.readNowMs())) {
    view.quotas.take("c", CUSTOMER, view.readNowMs());
  }
  expect(await sendPart(port, "k")).toContain(" 429 ");
  listener.stop();
});

test("a body of which nothing comes is refused as not run", async () => {
  const { listener, port } = await start(100);
  const text = await sendPart(port, "k");
  expect(text).toContain(" 408 ");
  expect(text).toContain("Connection: close");
  expect(text).toContain('"run":"not run"');
  listener.stop();
});

test("the body longest without progress gives way to another", async () => {
  const { listener, port } = await start(5_000, new ByteBudget(100_000));
  const first = sendPart(port, "k", 60_000);
  await expect.poll(() => listener.countInFlight()).toBe(1);
  const second = sendPart(port, "k", 60_000);
  const text = await first;
  expect(text).toContain(" 503 ");
  expect(text).toContain('"code":"crowded"');
  expect(text).toContain("Retry-After");
  await expect.poll(() => listener.countInFlight()).toBe(1);
  listener.stop();
  expect(await second).toBe("closed");
});
