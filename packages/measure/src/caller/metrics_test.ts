import { createSocket } from "node:dgram";
import { afterAll, beforeAll, expect, test } from "vitest";
import { waitUntil } from "../support/wait_until.ts";
import { startCallerSystem } from "./start_caller_system.ts";

const receiver = createSocket("udp4");
const lines: string[] = [];
let system: Awaited<ReturnType<typeof startCallerSystem>>;

beforeAll(async () => {
  receiver.on("message", (data) => lines.push(...data.toString().split("\n")));
  await new Promise<void>((resolve) => {
    receiver.bind(0, "127.0.0.1", resolve);
  });
  const { port } = receiver.address();
  const metrics = { host: "127.0.0.1", port };
  system = await startCallerSystem({ settings: { metrics } });
});
afterAll(async () => {
  await system.stop();
  receiver.close();
});

const waitForLine = (start: string) =>
  waitUntil(() => lines.some((line) => line.startsWith(start)));

test("metrics of requests, refusals and attempts are sent", async () => {
  const json = { model: "demo-model", messages: [] };
  await system.api.post("v1/chat/completions", { json });
  await system.api.post("v1/chat/completions", { json: { model: "none" } });
  await waitForLine("gooseberryline.requests:1|c|#");
  await waitForLine("gooseberryline.refusals:1|c|#");
  await waitForLine("gooseberryline.attempts:1|c|#");
  await waitForLine("gooseberryline.first_token_ms:");
  await waitForLine("gooseberryline.total_ms:");
  const request = lines.find((line) => line.includes(".requests:"));
  expect(request).toContain("customer:demo");
  expect(request).toContain("instance:one");
  expect(lines.join("")).not.toContain("demo-key");
});
