import { PassThrough, Readable } from "node:stream";
import { expect, test } from "vitest";
import { runTool } from "../run_tool.ts";

const LINES = [
  {
    event: "config-adopted",
    at: "2026-12-04T09:00:00.000Z",
    instance: "e1",
    revision: 7,
    routes: 3,
  },
  {
    event: "upstream-listed",
    at: "2026-12-04T09:00:01.000Z",
    instance: "e1",
    upstream: "u1",
    isDraining: false,
  },
  {
    event: "upstream-removed",
    at: "2026-12-04T09:00:09.500Z",
    instance: "e1",
    upstream: "u1",
  },
  {
    event: "request-retry",
    at: "2026-12-04T09:00:09.700Z",
    instance: "e1",
    requestId: "r1",
    upstreams: "u1",
    end: "lost",
    reason: "read ECONNRESET",
  },
  {
    event: "request-ended",
    at: "2026-12-04T09:00:10.000Z",
    instance: "e1",
    requestId: "r1",
    upstreams: "u1 u2",
    outcome: "answered",
    status: 200,
    tookMs: 600,
  },
  {
    event: "job-claimed",
    at: "2026-12-04T09:00:11.000Z",
    instance: "w2",
    jobId: "j1",
    from: "w1",
  },
  {
    event: "item-run-ended",
    at: "2026-12-04T09:00:12.000Z",
    instance: "w2",
    jobId: "j1",
    itemId: "i1",
    upstream: "u2",
    end: "completed",
    ranMs: 800,
    step: "list-completed",
  },
  {
    event: "results-listed",
    at: "2026-12-04T09:00:12.100Z",
    instance: "w2",
    jobId: "j1",
    listed: 1,
    total: 2,
  },
  {
    event: "job-over-limit",
    at: "2026-12-04T09:00:12.200Z",
    instance: "w2",
    jobId: "j2",
    customer: "t1",
    tokens: 20,
    limit: 100,
    waiting: 90,
    ageMs: 12,
    retryAfterMs: 300,
  },
];

async function runExplain(id: string, ...options: readonly string[]) {
  const text = [...LINES]
    .reverse()
    .map((line) => `12.5 node ${JSON.stringify(line)}`)
    .join("\n");
  const stdout = new PassThrough();
  const stderr = new PassThrough();
  const code = await runTool(["explain", id, ...options], {
    stdin: Readable.from([`${text}\nanother program's line\n`]),
    stdout,
    stderr,
    env: {},
  });
  const out = String(stdout.read() ?? "");
  const err = String(stderr.read() ?? "");
  return { code, out, err };
}

test("explains a request with known state, steps and outcome", async () => {
  const { code, out } = await runExplain("r1");
  expect(code).toBe(0);
  expect(out).toContain("request r1: answered with 200 after 600 ms");
  expect(out).toContain("config-adopted revision=7 routes=3, 9400 ms before");
  // The upstream was removed only after the request had been sent to it.
  expect(out).toContain("upstream-listed upstream=u1");
  expect(out).not.toContain("upstream-removed");
  expect(out.indexOf("request-retry")).toBeLessThan(
    out.indexOf("request-ended"),
  );
  expect(out).toContain("read ECONNRESET");
});

test("explains an item with the owners of its job", async () => {
  const { out } = await runExplain("i1");
  expect(out).toContain("item i1: completed in run 1");
  expect(out).toContain("job-claimed jobId=j1 from=w1");
});

test("explains a job with its result counts", async () => {
  const { out } = await runExplain("j1");
  expect(out).toContain("job j1: 1 of 2 results listed, 0 errored");
});

test("explains a job that was refused for its customer's unfinished items", async () => {
  const { out } = await runExplain("j2");
  expect(out).toContain(
    "job j2: refused: 20 tokens beside 90 unfinished ones of customer t1, counted 12 ms before, exceed the limit of 100",
  );
});

test("prints the explanation as JSON with --json", async () => {
  const { out } = await runExplain("r1", "--json");
  expect(JSON.parse(out)).toMatchObject({ id: "r1", subject: "request" });
});

test("reports an unknown ID with the number of lines read", async () => {
  const { code, err } = await runExplain("nobody");
  expect(code).toBe(1);
  expect(err).toContain("no line names nobody; 9 lines read, 1 of other kinds");
});

test("reports the name of an unreadable file", async () => {
  const { code, err } = await runExplain("r1", "no/such/file");
  expect(code).toBe(2);
  expect(err).toContain("no/such/file");
});
