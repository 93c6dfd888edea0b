import { type FakeProxy, startEngine, startProxy } from "@gooseberryline/fakes";
import { expect, test } from "vitest";
import { startSystem } from "../support/start_system.ts";

const json = { model: "demo-model", messages: [], stream: true };

test("an unresponsive pooled connection costs one timeout", async () => {
  const engine = await startEngine({ tokenMs: 1 });
  const proxy: FakeProxy = await startProxy(engine.url);
  const upstream = { service: "demo-model", dataCentre: "a", url: proxy.url };
  const system = await startSystem({
    engines: 0,
    changeConfig: (document) => ({
      ...document,
      upstreams: { far: { ...upstream, maxConcurrency: 8 } },
    }),
  });
  const sendRequest = () => system.api.post("v1/chat/completions", { json });
  await Promise.all([sendRequest(), sendRequest()]);
  const openedBefore = proxy.countConnections();
  proxy.stopForwarding();
  const answers = await Promise.all([sendRequest(), sendRequest()]);
  answers.forEach(({ body }) => {
    expect(body).toContain("data: [DONE]");
  });
  expect((await sendRequest()).body).toContain("data: [DONE]");
  expect(proxy.countConnections()).toBeGreaterThan(openedBefore);
  await system.stop();
  await proxy.close();
  await engine.close();
});
