import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, expect, test } from "vitest";
import { runCommand } from "../testing/run_command.ts";

const ANSWER = {
  instance: "i1",
  dataCentre: "a",
  route: "chat",
  service: "s",
  home: "b",
  costMs: 4,
  outcome: { kind: "placed", upstream: "u1", waitMs: 20 },
  candidates: [
    {
      upstream: "u1",
      dataCentre: "b",
      online: 3,
      batch: 1,
      slots: 8,
      unseen: 0.4,
      slowness: 1.65,
      waitMs: 20,
      newsAgeMs: 120,
    },
  ],
};

const servers: Server[] = [];

afterEach(() => {
  servers.splice(0).forEach((server) => {
    server.close();
  });
});

async function serve(status: number, text: string) {
  const asked: string[] = [];
  const server = createServer((req, res) => {
    asked.push(req.url ?? "");
    res.writeHead(status).end(text);
  });
  servers.push(server);
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    asked,
  };
}

const WHAT = ["--host", "h", "--path", "/p/"];

test("prints where a request would go, and what was considered", async () => {
  const { address, asked } = await serve(200, JSON.stringify(ANSWER));
  const { code, out } = await runCommand("place", address, ...WHAT);
  expect(code).toBe(0);
  expect(asked).toEqual(["/place?host=h&path=%2Fp%2F&kind=request"]);
  expect(out).toContain("would go to u1, wait 20 ms");
  expect(out).toContain("meant for b; leaving has to save 4 ms");
  expect(out).toMatch(/u1 +b +3 +1 +0.4 +8 +1.65 +20 +120/);
});

test("prints a refusal with its Retry-After", async () => {
  const outcome = {
    kind: "refused",
    status: 503,
    code: "no_room",
    reason: "every upstream is full",
    retryAfterMs: [100, 200],
  };
  const { address } = await serve(200, JSON.stringify({ ...ANSWER, outcome }));
  const { out } = await runCommand("place", address, ...WHAT, "--item");
  expect(out).toContain("503 no_room, every upstream is full");
  expect(out).toContain("Retry-After 100 to 200 ms");
});

test("says what is wrong with the question, or with the answer", async () => {
  const bad = await serve(400, JSON.stringify({ error: "host is missing" }));
  const refused = await runCommand("place", bad.address, ...WHAT);
  expect(refused.code).toBe(2);
  expect(refused.err).toContain("host is missing");
  const old = await serve(404, "Not Found");
  const earlier = await runCommand("place", old.address, ...WHAT);
  expect(earlier.code).toBe(1);
  expect(earlier.err).toContain("may be an earlier build");
  const { code, err } = await runCommand("place", "127.0.0.1:1", ...WHAT);
  expect(code).toBe(3);
  expect(err).toContain("no answer from 127.0.0.1:1");
  expect((await runCommand("place", bad.address)).code).toBe(2);
});
