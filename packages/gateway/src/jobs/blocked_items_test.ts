import {
  type BatchResult,
  ITEM_RESULTS,
  type PromptBlock,
} from "@gooseberryline/core";
import { ConnectionPool } from "@gooseberryline/daemon";
import { expect, test } from "vitest";
import { createView } from "../testing/create_view.ts";
import { JOB_ROUTE } from "../testing/job_route.ts";
import { plainDialect } from "../testing/plain_dialect.ts";
import { SILENT_LOG } from "../testing/silent_log.ts";
import { buildJob } from "./build_job.ts";
import { ItemPool } from "./item_pool.ts";

const BLOCK: PromptBlock = {
  kind: "prompt",
  parts: ["x"],
  customers: ["t1"],
  upstreams: ["u1"],
};

/** A pool with a job of one item, submitted `ageMs` ago, whose part is blocked. */
function createPool(ageMs: number) {
  const view = createView("run");
  view.adoptConfig({
    revision: 1,
    routes: [JOB_ROUTE],
    services: [],
    customers: [],
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  });
  view.crashes.addBlock(BLOCK, "peer");
  const results: BatchResult[] = [];
  const pool = new ItemPool({
    view,
    pool: new ConnectionPool(1_000),
    dialect: plainDialect,
    log: SILENT_LOG,
    onResult: (_, __, result) => {
      results.push(result);
    },
  });
  const headers = { Parts: "a x" };
  const items = [{ id: "i1", path: "/b/x", headers, body: "", tokens: 1 }];
  const submittedAtMs = Date.now() - ageMs;
  const route = { ...JOB_ROUTE, retentionMs: 60_000 };
  const built = { id: "j1", customer: "t1", route, items, submittedAtMs };
  const { job } = buildJob({ ...built, workers: [], writer: "w" });
  const claim = { owner: "w", incarnation: "1", dueAtMs: 0 };
  pool.addJob({
    job,
    items,
    claim,
    claimRevision: 1,
    listed: [],
    texts: new Map(),
    progressRevision: 1,
  });
  return { pool, results };
}

test("a blocked item waits while its job has to be kept", () => {
  const { pool, results } = createPool(1_000);
  pool.step();
  expect(pool.countRunning()).toBe(0);
  expect(results).toEqual([]);
});

test("a blocked item is errored once its job's retention is over", () => {
  const { pool, results } = createPool(61_000);
  pool.step();
  pool.step();
  expect(results.map(({ state }) => state)).toEqual([ITEM_RESULTS.errored]);
});
