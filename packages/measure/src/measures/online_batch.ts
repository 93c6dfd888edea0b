import type { Policy } from "@gooseberryline/core";
import { World } from "@gooseberryline/fakes";
import { offerBatch } from "../jobs/offer_batch.ts";
import { buildWorldConfig } from "../world/build_world_config.ts";
import { generateArrivals } from "../world/generate_arrivals.ts";
import { measureQuantile } from "./measure_quantile.ts";
import type { MeasureRow } from "./types.ts";

const WARM_UP_MS = 30_000;
const END_MS = 150_000;
const BURST_EVERY_MS = 20_000;
const BURST_MS = 4_000;
const BURST_RATE = 45;
const BASE_RATE = 5;
const JOB_ITEMS = 6_000;
const SLOTS = 64;
/** Run time of an item on a full engine: 1.25 x (100 ms + 50 x 20 ms). */
const FULL_ENGINE_RUN_MS = 1_375;

type LoadResult = {
  readonly batchItems: number;
  readonly onlineSlotMs: number;
  readonly totalMs: readonly number[];
  readonly lost: number;
};

const ROWS_BY_SEED = new Map<number, readonly MeasureRow[]>();

/** Measures bursts of online load on top of a batch backlog, by policy. */
export function measureOnlineBatch(seed: number): readonly MeasureRow[] {
  const cached = ROWS_BY_SEED.get(seed);
  if (cached !== undefined) {
    return cached;
  }
  const withoutBatch = runLoad(seed, undefined);
  const idleMs = (END_MS - WARM_UP_MS) * SLOTS - withoutBatch.onlineSlotMs;
  const ideal = idleMs / FULL_ENGINE_RUN_MS;
  const withoutBatchP99 = measureQuantile(withoutBatch.totalMs, 0.99);
  const policies: readonly (readonly [string, Partial<Policy>])[] = [
    ["product", {}],
    ["no-yielding", { canYield: false }],
    ["batch-forbidden-while-online", { isBatchExclusive: true }],
  ];
  const rows = policies.flatMap(([policy, changes]) => {
    const result = runLoad(seed, changes);
    const p99 = measureQuantile(result.totalMs, 0.99);
    const rise = 100 * (p99 / withoutBatchP99 - 1);
    return [
      {
        measure: "batch-throughput",
        policy,
        value: result.batchItems / ideal,
        unit: "of the ideal",
        seed,
      },
      { measure: "online-p99", policy, value: p99, unit: "ms", seed },
      { measure: "online-p99", policy, value: rise, unit: "% rise", seed },
      {
        measure: "online-p99",
        policy,
        value: result.lost,
        unit: "requests not answered",
        seed,
      },
    ];
  });
  const allRows = [
    ...rows,
    {
      measure: "online-p99",
      policy: "without-batch",
      value: withoutBatchP99,
      unit: "ms",
      seed,
    },
  ];
  ROWS_BY_SEED.set(seed, allRows);
  return allRows;
}

/** Runs the load; without batch jobs if `policy` is undefined. */
function runLoad(
  seed: number,
  policy: Partial<Policy> | undefined,
): LoadResult {
  const world = new World({
    seed,
    document: buildWorldConfig({
      dataCentres: ["a", "b"],
      upstreamsPerDataCentre: 2,
      customers: ["c1", "c2"],
      rate: 1_000,
      burst: 1_000,
    }),
    instances: { a: 2, b: 2 },
    ...(policy === undefined ? {} : { policy }),
  });
  generateBursts(world, seed);
  world.runFor(10_000);
  if (policy !== undefined) {
    world.instanceIds.forEach((instanceId, index) => {
      const name = `job-${index}`;
      offerBatch(world, {
        name,
        itemCount: JOB_ITEMS,
        at: instanceId,
        customer: "c2",
      });
    });
  }
  world.runFor(END_MS + 20_000 - world.nowMs);
  return readLoadResult(world);
}

function generateBursts(world: World, seed: number): void {
  generateArrivals(world, {
    seed: seed * 100 + 1,
    customer: "c1",
    rate: BASE_RATE,
    untilMs: END_MS,
  });
  const count = Math.floor((END_MS - WARM_UP_MS) / BURST_EVERY_MS);
  [...Array(count).keys()].forEach((index) => {
    const startMs = WARM_UP_MS + index * BURST_EVERY_MS;
    world.queue.schedule(startMs, () =>
      generateArrivals(world, {
        seed: seed * 100 + 2 + index,
        customer: "c1",
        rate: BURST_RATE,
        untilMs: startMs + BURST_MS,
      }),
    );
  });
}

function readLoadResult(world: World): LoadResult {
  const { calls, runs } = world.ledger;
  const isMeasured = (atMs: number): boolean =>
    atMs >= WARM_UP_MS && atMs < END_MS;
  const measured = calls.filter(({ arrivedMs }) => isMeasured(arrivedMs));
  const answered = measured.filter(({ end }) => end?.kind === "answered");
  const online = runs.filter(({ order }) => order?.lane === "online");
  const items = runs.filter(
    ({ order, isComplete, endedMs }) =>
      order?.lane === "batch" && isComplete && isMeasured(endedMs ?? 0),
  );
  return {
    batchItems: items.length,
    onlineSlotMs: online.reduce((sum, { startedMs, endedMs = END_MS }) => {
      const from = Math.max(WARM_UP_MS, startedMs);
      return sum + Math.max(0, Math.min(END_MS, endedMs) - from);
    }, 0),
    totalMs: answered.map(
      ({ arrivedMs, endedMs = arrivedMs }) => endedMs - arrivedMs,
    ),
    lost: measured.length - answered.length,
  };
}
