/** Starts a worker's runner of jobs on a fake store, without upstreams. */
import {
  batchKeys,
  type EventLog,
  type MetadataStore,
} from "@gooseberryline/core";
import { ConnectionPool } from "@gooseberryline/daemon";
import { createMetadata } from "@gooseberryline/fakes";
import { HeldBytes } from "../exchange/held_bytes.ts";
import { batchRecords } from "../jobs/batch_records.ts";
import { buildJob } from "../jobs/build_job.ts";
import { JobRunner } from "../jobs/job_runner.ts";
import { createView } from "./create_view.ts";
import { JOB_ROUTE } from "./job_route.ts";
import { plainDialect } from "./plain_dialect.ts";
import { SILENT_LOG } from "./silent_log.ts";
import { SMALL_LIMITS } from "./small_limits.ts";

type Line = { readonly event: string; readonly jobId: unknown };

/**
 * Accepts jobs of this worker, each item with a path of its own. `showClaims` shows
 * their claims to its runner once.
 */
export async function startRunner(
  jobIds: readonly string[],
  itemsPerJob = 1,
  bodyBytes = 0,
  wrapStore = (store: MetadataStore): MetadataStore => store,
) {
  const metadata = createMetadata();
  const { store } = metadata;
  const view = createView("run");
  const lines: Line[] = [];
  const record = (event: string, fields = {}): void => {
    lines.push({ event, jobId: undefined, ...fields });
  };
  const log: EventLog = { ...SILENT_LOG, info: record, warn: record };
  const runner = new JobRunner({
    view,
    store: wrapStore(store),
    log,
    held: new HeldBytes(),
    dialect: plainDialect,
    pool: new ConnectionPool(1_000),
  });
  const owner = {
    id: view.settings.instanceId,
    incarnation: view.incarnation,
    address: "127.0.0.1",
    port: 1,
    relayPort: 1,
    dataCentre: "a",
    duty: "run",
  } as const;
  view.members.set(owner);
  for (const id of jobIds) {
    const items = Array.from({ length: itemsPerJob }, (_, index) => ({
      id: `${id}-${index}`,
      path: `${buildPrefix(index)}x`,
      headers: {},
      body: "A".repeat(bodyBytes),
      tokens: 1,
    }));
    const { commit } = buildJob({
      id,
      customer: "t1",
      route: JOB_ROUTE,
      configRevision: 1,
      items,
      submittedAtMs: Date.now(),
      workers: [owner],
      writer: "w",
    });
    await store.commit(commit);
  }
  const showClaims = async (): Promise<void> => {
    const page = await store.listPage(batchKeys.claimPrefix);
    const items = page.kind === "page" ? page.items : [];
    items.forEach((item) => {
      runner.handleClaimEvent({ kind: "set", item });
    });
  };
  /** Adopts a configuration with routes for these items of each job alone. */
  const adoptRoutes = (revision: number, indexes: readonly number[]): void => {
    const targets = [{ service: "s", weight: 1 }];
    view.adoptConfig({
      revision,
      routes: indexes.map((index) => ({
        ...JOB_ROUTE,
        prefix: buildPrefix(index),
        targets,
      })),
      services: [],
      access: { kind: "open" },
      limits: SMALL_LIMITS,
    });
  };
  const listResultIds = async (jobId: string): Promise<readonly string[]> => {
    const page = await store.listPage(batchKeys.results(jobId));
    const items = page.kind === "page" ? page.items : [];
    return items.map(
      ({ value }) => batchRecords.decodeResult(value)?.id ?? "unreadable",
    );
  };
  const listOwned = (): readonly string[] =>
    Object.keys(runner.listResultCounts());
  const takeOver = (jobId: string, by = "w2"): void => {
    const claim = { owner: by, incarnation: "1", dueAtMs: Date.now() };
    const value = batchRecords.encode(claim).toString();
    metadata.writeRecord(batchKeys.claim(jobId), value);
  };
  const reads = { showClaims, listOwned, listResultIds };
  return { metadata, runner, lines, ...reads, adoptRoutes, takeOver };
}

function buildPrefix(index: number): string {
  return `${JOB_ROUTE.prefix}${index}/`;
}
