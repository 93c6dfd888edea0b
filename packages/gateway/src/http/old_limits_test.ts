import { got } from "got";
import { expect, test } from "vitest";
import { createView } from "../testing/create_view.ts";
import { JOB_ROUTE } from "../testing/job_route.ts";
import { startListener } from "../testing/start_listener.ts";

const LIMITS = {
  headerBytes: 1_000,
  bodyBytes: 10,
  headerTimeoutMs: 1_000,
  idleTimeoutMs: 1_000,
};
const CALLS = [
  ["headers", { headers: { "x-a": "a".repeat(1_000) } }, 431],
  ["a body", { body: "a".repeat(11) }, 413],
] as const;

// Guards against a refusal for good by limits that newer ones have replaced.
test.each(CALLS)(
  "%s over the limits is refused for good only by the newest configuration",
  async (_, options, status) => {
    const view = createView();
    const state = { isNewest: true };
    const isNewest = (): boolean => state.isNewest;
    const { listener, port } = await startListener(view, isNewest);
    view.adoptConfig({
      revision: 1,
      routes: [{ ...JOB_ROUTE, host: "h", prefix: "/", isPublic: true }],
      services: [],
      access: { kind: "open" },
      limits: LIMITS,
    });
    const send = async () => {
      const headers = {
        ...("headers" in options && options.headers),
        host: "h",
      };
      const answer = await got.post(`http://127.0.0.1:${port}/x`, {
        ...options,
        headers,
        throwHttpErrors: false,
        retry: { limit: 0 },
      });
      return answer.statusCode;
    };
    expect(await send()).toBe(status);
    state.isNewest = false;
    expect(await send()).toBe(503);
    listener.stop();
  },
);

test("a head far over the limit is not read to its end", async () => {
  const view = createView();
  const { listener, port } = await startListener(view);
  view.adoptConfig({
    revision: 1,
    routes: [],
    services: [],
    access: { kind: "open" },
    limits: LIMITS,
  });
  const send = () =>
    got(`http://127.0.0.1:${port}/x`, {
      headers: { "x-a": "a".repeat(100_000), connection: "close" },
      throwHttpErrors: false,
      retry: { limit: 0 },
    });
  expect((await send()).body).toContain("headers_too_large");
  listener.applyLimits();
  const { statusCode, body } = await send();
  expect([statusCode, body]).toEqual([431, ""]);
  listener.stop();
});
