import type { BatchResult, Route } from "@gooseberryline/core";
import { ConnectionPool } from "@gooseberryline/daemon";
import { expect, vi } from "vitest";
import type { CallDialect } from "../dialect/types.ts";
import { HeldBytes } from "../exchange/held_bytes.ts";
import { buildJob } from "../jobs/build_job.ts";
import { ItemPool } from "../jobs/item_pool.ts";
import { createView } from "./create_view.ts";
import { JOB_ROUTE } from "./job_route.ts";
import { plainDialect } from "./plain_dialect.ts";
import { SILENT_LOG } from "./silent_log.ts";
import { SMALL_LIMITS } from "./small_limits.ts";
import type { TestUpstream } from "./start_upstream.ts";

const SERVICE = "s";
const ROUTE = { ...JOB_ROUTE, targets: [{ service: SERVICE, weight: 1 }] };
/** A route to a service without upstreams. */
const LOST_ROUTE = {
  ...JOB_ROUTE,
  name: "lost",
  prefix: "/lost/",
  targets: [{ service: "lost", weight: 1 }],
};

type ItemUpstream = Pick<TestUpstream, "address"> & {
  readonly version?: string;
};

/**
 * Creates a pool with a job of one item, submitted `ageMs` ago, and upstreams.
 * The instance knows a configuration of revision 1 that has the job's route.
 */
export function createItemPool(
  ageMs: number,
  upstreams: readonly ItemUpstream[],
  configRevision = 1,
  dialect: CallDialect = plainDialect,
) {
  const view = createView("run");
  const adoptConfig = (revision: number, hasRoute: boolean): boolean =>
    view.adoptConfig({
      revision,
      routes: hasRoute ? [ROUTE, LOST_ROUTE] : [],
      services: [],
      access: { kind: "open" },
      limits: SMALL_LIMITS,
    });
  adoptConfig(1, true);
  const addUpstream = ({ address, version }: ItemUpstream, id: string): void =>
    view.directory.set({
      id,
      service: SERVICE,
      address,
      dataCentre: "a",
      slots: 8,
      isDraining: false,
      coldUntilMs: 0,
      version,
    });
  upstreams.forEach((upstream, index) => {
    addUpstream(upstream, `u${index}`);
  });
  const results: BatchResult[] = [];
  const pool = new ItemPool({
    view,
    pool: new ConnectionPool(1_000),
    held: new HeldBytes(),
    dialect,
    log: SILENT_LOG,
    onResult: (_, __, result) => {
      results.push(result);
    },
  });
  const addJob = (id: string, route: Route, itemIds: readonly string[]) => {
    const headers = { Parts: "a x" };
    const path = `${route.prefix}x`;
    const items = itemIds.map((itemId) => {
      return { id: itemId, path, headers, body: "", tokens: 1 };
    });
    const submittedAtMs = Date.now() - ageMs;
    const accepted = { id, customer: "t1", route, configRevision };
    const built = { ...accepted, items, submittedAtMs };
    const { job } = buildJob({ ...built, workers: [], writer: "w" });
    // Those of the lost service come first.
    const dueAtMs = route === LOST_ROUTE ? 0 : 1;
    const claim = { owner: "w", incarnation: "1", dueAtMs };
    pool.addJob({
      job,
      items: new Map(items.entries()),
      claim,
      claimRevision: 1,
      listed: [],
      texts: new Map(),
      progressRevision: 1,
    });
  };
  /** Adds a job of a service without upstreams. */
  const addLostJob = (id: string, items: number): void =>
    addJob(
      id,
      LOST_ROUTE,
      Array.from({ length: items }, (_, index) => `${id}-${index}`),
    );
  addJob("j1", ROUTE, ["i1"]);
  const waitForResult = () =>
    vi.waitFor(
      () => {
        pool.step();
        expect(results).toHaveLength(1);
      },
      { timeout: 5_000, interval: 20 },
    );
  const step = (): void => pool.step();
  const countRunning = (): number => pool.countRunning();
  const parts = {
    view,
    results,
    countRunning,
    addUpstream,
    addLostJob,
    adoptConfig,
  };
  return { ...parts, step, waitForResult };
}
