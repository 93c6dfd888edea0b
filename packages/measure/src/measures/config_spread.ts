import type { ConfigDocument } from "@gooseberryline/core";
import { World } from "@gooseberryline/fakes";
import { buildWorldConfig } from "../world/world_config.ts";
import type { Measure, MeasureRow } from "./types.ts";

const NAME = "config-spread";
const DATA_CENTRES = Array.from({ length: 22 }, (_, at) => `dc${at}`);
const INSTANCES_EACH = 20;
const CUSTOMERS = 410;
const UPSTREAMS_EACH = 10;
const WARM_UP_MS = 1_500;
const CHANGES = 3;
const CHANGE_LIMIT_MS = 11_000;
const STEP_MS = 20;
const MS_PER_SECOND = 1_000;
/** A silent watch of 3 s, and the read that follows it. */
const WATCH_MS = 3_000;
const CALLS_A_ROUND = 2;

/** How soon a change is in force at 440 instances, and what it costs. */
export const CONFIG_SPREAD: Measure = {
  name: NAME,
  target: "in force <= 11000 ms",
  run: (seed) => Promise.resolve(measureSpread(seed)),
};

function measureSpread(seed: number): readonly MeasureRow[] {
  const world = buildWorld(seed);
  world.runFor(WARM_UP_MS);
  const { ledger } = world;
  const watching = world.instanceIds.filter(
    (id) => world.stateOf(id)?.spread.isWatching,
  ).length;
  const callsEach = (CALLS_A_ROUND * MS_PER_SECOND) / WATCH_MS;
  const sentBefore = ledger.countMessages("config-sent");
  const bytesBefore = ledger.countBytes("config-sent");
  const times = Array.from({ length: CHANGES }, (_, at) =>
    measureChange(world, at + 1),
  );
  const nodes = world.instanceIds.length;
  const perChange = nodes * CHANGES;
  const sent = (ledger.countMessages("config-sent") - sentBefore) / perChange;
  const bytes = (ledger.countBytes("config-sent") - bytesBefore) / perChange;
  const whole = JSON.stringify(world.config).length;
  const build = (policy: string, unit: string, value: number): MeasureRow => ({
    measure: NAME,
    policy,
    value: Math.round(value * 100) / 100,
    unit,
    seed,
  });
  return [
    build("product", "ms to the last instance, worst", Math.max(...times)),
    build("product", "bytes a change and node", bytes),
    build("whole-document", "bytes a change and node", sent * whole),
    build("product", "platform calls a second", watching * callsEach),
    build(
      "every-instance-watches",
      "platform calls a second",
      nodes * callsEach,
    ),
  ];
}

function buildWorld(seed: number): World {
  return new World({
    seed,
    document: buildWorldConfig({
      dataCentres: DATA_CENTRES,
      upstreamsEach: UPSTREAMS_EACH,
      customers: Array.from({ length: CUSTOMERS }, (_, at) => `c${at}`),
    }),
    instances: Object.fromEntries(
      DATA_CENTRES.map((id) => [id, INSTANCES_EACH]),
    ),
  });
}

/** Changes one customer's rate; the time until all have it, or the limit. */
function measureChange(world: World, rate: number): number {
  const { revision } = world.setConfig(changeRate(world.config.document, rate));
  const startedMs = world.nowMs;
  const isInForce = (): boolean =>
    world.instanceIds.every(
      (id) => world.stateOf(id)?.config?.revision === revision,
    );
  const step = (): number => {
    const tookMs = world.nowMs - startedMs;
    if (tookMs >= CHANGE_LIMIT_MS || isInForce()) {
      return tookMs;
    }
    world.runFor(STEP_MS);
    return step();
  };
  return step();
}

function changeRate(document: ConfigDocument, rate: number): ConfigDocument {
  const customers = Object.fromEntries(
    Object.entries(document.customers).map(([id, customer], at) => [
      id,
      at === 0 ? { ...customer, rate } : customer,
    ]),
  );
  return { ...document, customers };
}
