import type { RequestOptions } from "node:http";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { AttemptFixture } from "./attempt_fixture.ts";

// Older releases of the runtime let pass by default what this one only does if asked.
vi.mock("node:http", async (importOriginal) => {
  const http = await importOriginal<typeof import("node:http")>();
  const request = (options: RequestOptions) =>
    http.request({ ...options, insecureHTTPParser: true });
  return { ...http, request };
});

const LENGTH = "Content-Length: 4";

let fixture: AttemptFixture;
beforeEach(() => {
  fixture = new AttemptFixture();
});
afterEach(() => fixture.close());

// Guards against a line that the caller gets with an answer, or in place of its body.
test.each([" X-Odd: v", "\nX-Odd: v", "\rX-Odd: v", "Connection : close"])(
  "an answer whose head has the line %j is an upstream's error",
  async (line) => {
    const raw = await fixture.startRawUpstream((socket) => {
      socket.end(
        ["HTTP/1.1 200 OK", LENGTH, line, "X: v", "", "text"].join("\r\n"),
      );
    });
    const call = { isPlain: true, isIdempotent: false };
    const { attemptId, taken } = fixture.start(raw.url, call);
    expect(await fixture.end(attemptId)).toMatchObject({
      kind: "failed",
      isRelayed: false,
      fault: { code: "upstream_error" },
    });
    expect(taken.text).toBe("");
  },
);
