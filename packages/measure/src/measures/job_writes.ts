import { drawRandom } from "@gooseberryline/core";
import { World } from "@gooseberryline/fakes";
import { offerBatch } from "../jobs/offer_batch.ts";
import { buildWorldConfig } from "../world/build_world_config.ts";
import type { Measure, MeasureRow } from "./types.ts";

const MEASURE = "job-writes";
const DATA_CENTRES = ["a", "b", "c"];
const INSTANCES_EACH = 2;
const FLEET_INSTANCES = 450;
const ITEMS = 40_000;
/** Upper bound of a job's random extra size; its start time is random too. */
const EXTRA_ITEMS = 20_000;
const OFFER_MS = 10_000;
/** Items take four seconds, which gives 16 items per second per instance. */
const ENGINE = { slots: 10_000, firstTokenMs: 500, tokenMs: 70 };
const WARM_UP_MS = 20_000;
const DURATION_MS = 240_000;
const SECOND_MS = 1_000;
const PER_ITEMS = 1_000;

type Counts = {
  readonly items: number;
  readonly writes: number;
  readonly reads: number;
  /** Owned segments, sampled each second and summed. */
  readonly segmentSeconds: number;
};

/**
 * Measures the platform calls of batch work at the item rate of a node at the
 * target fleet size: 16 items per second per instance.
 */
export const JOB_WRITES: Measure = {
  name: MEASURE,
  target: "product <= 200 writes/s over 450 instances",
  run: async (seed) => {
    const counts = measureCounts(seed);
    return [
      ...describeWrites("product", counts.writes, counts, seed),
      ...describeWrites(
        "write-each-second",
        counts.segmentSeconds,
        counts,
        seed,
      ),
      ...describeWrites("write-per-result", counts.items, counts, seed),
      {
        measure: MEASURE,
        policy: "product",
        value: toFleetRate(counts.reads),
        unit: "reads/s over 450 instances",
        seed,
      },
    ];
  },
};

function measureCounts(seed: number): Counts {
  const world = new World({
    seed,
    document: buildWorldConfig({
      dataCentres: DATA_CENTRES,
      upstreamsPerDataCentre: 2,
      customers: ["c1", "c2"],
      concurrency: 11,
    }),
    instances: Object.fromEntries(
      DATA_CENTRES.map((id) => [id, INSTANCES_EACH]),
    ),
    engine: ENGINE,
  });
  ["c1", "c2"].forEach((customer, index) => {
    const { value } = drawRandom(seed + index);
    const name = `job-${customer}`;
    const itemCount = ITEMS + Math.floor(value * EXTRA_ITEMS);
    world.queue.schedule(value * OFFER_MS, () => {
      offerBatch(world, { name, itemCount, customer });
    });
  });
  world.runFor(WARM_UP_MS);
  const before = readCounts(world);
  const segmentSeconds = Array.from({
    length: DURATION_MS / SECOND_MS,
  }).reduce<number>((sum) => {
    world.runFor(SECOND_MS);
    return sum + countOwned(world);
  }, 0);
  const after = readCounts(world);
  return {
    items: after.items - before.items,
    writes: after.writes - before.writes,
    reads: after.reads - before.reads,
    segmentSeconds,
  };
}

function readCounts(world: World): Omit<Counts, "segmentSeconds"> {
  const calls = world.store.meter.readCalls();
  return {
    items: world.ledger.runs.filter(({ isComplete }) => isComplete).length,
    writes: calls["/kv/cas"] ?? 0,
    reads: (calls["/kv/get"] ?? 0) + (calls["/kv/list"] ?? 0),
  };
}

function countOwned(world: World): number {
  return world.instanceIds.reduce(
    (sum, id) => sum + Object.keys(world.getState(id)?.jobs.owned ?? {}).length,
    0,
  );
}

function toFleetRate(calls: number): number {
  const instances = DATA_CENTRES.length * INSTANCES_EACH;
  return (calls * SECOND_MS * FLEET_INSTANCES) / DURATION_MS / instances;
}

function describeWrites(
  policy: string,
  writes: number,
  { items }: Counts,
  seed: number,
): readonly MeasureRow[] {
  const shared = { measure: MEASURE, policy, seed };
  const perItems = (writes * PER_ITEMS) / items;
  return [
    { ...shared, value: perItems, unit: "writes/1000 items" },
    {
      ...shared,
      value: toFleetRate(writes),
      unit: "writes/s over 450 instances",
    },
  ];
}
