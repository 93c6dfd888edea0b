import type { Policy } from "@gooseberryline/core";
import { World } from "@gooseberryline/fakes";
import { offerBatch } from "../jobs/offer_batch.ts";
import { generateArrivals } from "../world/generate_arrivals.ts";
import { buildWorldConfig } from "../world/world_config.ts";
import { measureQuantile } from "./measure_quantile.ts";
import type { MeasureRow } from "./types.ts";

const WARM_MS = 30_000;
const END_MS = 150_000;
const BURST_EVERY_MS = 20_000;
const BURST_MS = 4_000;
const BURST_RATE = 45;
const BASE_RATE = 5;
const JOB_ITEMS = 6_000;
const SLOTS = 64;
/** Run of an item on a full engine: 1.25 x (100 ms + 50 x 20 ms). */
const FULL_RUN_MS = 1_375;

type Run = {
  readonly batchItems: number;
  readonly onlineSlotMs: number;
  readonly totalMs: readonly number[];
  readonly lost: number;
};

const CACHE = new Map<number, readonly MeasureRow[]>();

/** Measures bursts of online work over a batch backlog, by policy. */
export function measureOnlineBatch(seed: number): readonly MeasureRow[] {
  const known = CACHE.get(seed);
  if (known !== undefined) {
    return known;
  }
  const bare = runLoad(seed, undefined);
  const idleMs = (END_MS - WARM_MS) * SLOTS - bare.onlineSlotMs;
  const ideal = idleMs / FULL_RUN_MS;
  const bareP99 = measureQuantile(bare.totalMs, 0.99);
  const policies: readonly (readonly [string, Partial<Policy>])[] = [
    ["product", {}],
    ["no-yielding", { canYield: false }],
    ["batch-forbidden-while-online", { isBatchExclusive: true }],
  ];
  const rows = policies.flatMap(([policy, changes]) => {
    const run = runLoad(seed, changes);
    const p99 = measureQuantile(run.totalMs, 0.99);
    const rise = 100 * (p99 / bareP99 - 1);
    return [
      {
        measure: "batch-throughput",
        policy,
        value: run.batchItems / ideal,
        unit: "of the ideal",
        seed,
      },
      { measure: "online-p99", policy, value: p99, unit: "ms", seed },
      { measure: "online-p99", policy, value: rise, unit: "% rise", seed },
      {
        measure: "online-p99",
        policy,
        value: run.lost,
        unit: "requests not answered",
        seed,
      },
    ];
  });
  const withBare = [
    ...rows,
    {
      measure: "online-p99",
      policy: "without-batch",
      value: bareP99,
      unit: "ms",
      seed,
    },
  ];
  CACHE.set(seed, withBare);
  return withBare;
}

/** Runs the load; with no batch at all where `policy` is undefined. */
function runLoad(seed: number, policy: Partial<Policy> | undefined): Run {
  const world = new World({
    seed,
    document: buildWorldConfig({
      dataCentres: ["a", "b"],
      upstreamsEach: 2,
      customers: ["c1", "c2"],
      rate: 1_000,
      burst: 1_000,
    }),
    instances: { a: 2, b: 2 },
    ...(policy === undefined ? {} : { policy }),
  });
  driveBursts(world, seed);
  world.runFor(10_000);
  if (policy !== undefined) {
    world.instanceIds.forEach((at, count) => {
      const name = `job-${count}`;
      offerBatch(world, { name, itemCount: JOB_ITEMS, at, customer: "c2" });
    });
  }
  world.runFor(END_MS + 20_000 - world.nowMs);
  return readRun(world);
}

function driveBursts(world: World, seed: number): void {
  generateArrivals(world, {
    seed: seed * 100 + 1,
    customer: "c1",
    rate: BASE_RATE,
    untilMs: END_MS,
  });
  const count = Math.floor((END_MS - WARM_MS) / BURST_EVERY_MS);
  [...Array(count).keys()].forEach((at) => {
    const startMs = WARM_MS + at * BURST_EVERY_MS;
    world.queue.schedule(startMs, () =>
      generateArrivals(world, {
        seed: seed * 100 + 2 + at,
        customer: "c1",
        rate: BURST_RATE,
        untilMs: startMs + BURST_MS,
      }),
    );
  });
}

function readRun(world: World): Run {
  const { calls, runs } = world.ledger;
  const isTimed = (atMs: number): boolean => atMs >= WARM_MS && atMs < END_MS;
  const timed = calls.filter(({ arrivedMs }) => isTimed(arrivedMs));
  const answered = timed.filter(({ end }) => end?.kind === "answered");
  const online = runs.filter(({ order }) => order?.lane === "online");
  const items = runs.filter(
    ({ order, isWhole, endedMs }) =>
      order?.lane === "batch" && isWhole && isTimed(endedMs ?? 0),
  );
  return {
    batchItems: items.length,
    onlineSlotMs: online.reduce((sum, { startedMs, endedMs = END_MS }) => {
      const from = Math.max(WARM_MS, startedMs);
      return sum + Math.max(0, Math.min(END_MS, endedMs) - from);
    }, 0),
    totalMs: answered.map(
      ({ arrivedMs, endedMs = arrivedMs }) => endedMs - arrivedMs,
    ),
    lost: timed.length - answered.length,
  };
}
