import {
  type BatchResult,
  ITEM_RESULTS,
  type PromptBlock,
} from "@gooseberryline/core";
import { ConnectionPool } from "@gooseberryline/daemon";
import { expect, test, vi } from "vitest";
import { createView } from "../testing/create_view.ts";
import { JOB_ROUTE } from "../testing/job_route.ts";
import { plainDialect } from "../testing/plain_dialect.ts";
import { SILENT_LOG } from "../testing/silent_log.ts";
import { startUpstream, type TestUpstream } from "../testing/start_upstream.ts";
import { buildJob } from "./build_job.ts";
import { ItemPool } from "./item_pool.ts";

const BLOCK: PromptBlock = {
  kind: "prompt",
  parts: ["x"],
  customers: ["t1", "t2"],
  upstreams: ["u1"],
};

const SERVICE = "s";
const ROUTE = { ...JOB_ROUTE, targets: [{ service: SERVICE, weight: 1 }] };

/** A pool with a job of one item, submitted `ageMs` ago, and its upstreams. */
function createPool(ageMs: number, upstreams: readonly TestUpstream[]) {
  const view = createView("run");
  view.adoptConfig({
    revision: 1,
    routes: [ROUTE],
    services: [],
    customers: [],
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  });
  upstreams.forEach(({ address }, index) => {
    view.directory.set({
      id: `u${index}`,
      service: SERVICE,
      address,
      dataCentre: "a",
      slots: 8,
      isDraining: false,
      coldUntilMs: 0,
    });
  });
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
  const accepted = { id: "j1", customer: "t1", route: ROUTE };
  const built = { ...accepted, items, submittedAtMs };
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
  const waitForResult = () =>
    vi.waitFor(
      () => {
        pool.step();
        expect(results).toHaveLength(1);
      },
      { timeout: 5_000, interval: 20 },
    );
  return { view, results, waitForResult };
}

function startSound(): Promise<TestUpstream> {
  return startUpstream((_, res) => {
    const type = { "content-type": "text/event-stream" };
    res.writeHead(200, type).end("id: 1\ndata: text\n\n");
  });
}

test("an item runs also where its part is blocked for callers, whatever its age", async () => {
  const sound = await startSound();
  const ages = [1_000, 61_000];
  await Promise.all(
    ages.map(async (ageMs) => {
      const { view, results, waitForResult } = createPool(ageMs, [sound]);
      view.crashes.addBlock(BLOCK, "peer");
      await waitForResult();
      expect(results[0]?.state).toBe(ITEM_RESULTS.completed);
    }),
  );
  await sound.close();
});

test("an item under which upstreams crashed is run again and suspected of nothing", async () => {
  const crashing: TestUpstream[] = [];
  const start = async (): Promise<void> => {
    const upstream = await startUpstream((_, res) => {
      res.writeHead(200, { "content-type": "text/event-stream" });
      res.flushHeaders();
      setTimeout(() => void upstream.close(), 5);
    });
    crashing.push(upstream);
  };
  await Promise.all([1, 2, 3].map(start));
  const { view, results, waitForResult } = createPool(1_000, crashing);
  setTimeout(async () => {
    const sound = await startSound();
    view.directory.set({
      id: "sound",
      service: SERVICE,
      address: sound.address,
      dataCentre: "a",
      slots: 8,
      isDraining: false,
      coldUntilMs: 0,
    });
  }, 1_500);
  await waitForResult();
  expect(results[0]?.state).toBe(ITEM_RESULTS.completed);
  const crashes = view.crashes.buildNews()?.crashes ?? [];
  expect(crashes.length).toBeGreaterThan(0);
  expect(crashes.flatMap(({ suspects }) => suspects)).toEqual([]);
});
