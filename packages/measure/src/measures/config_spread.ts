import type { ConfigDocument } from "@gooseberryline/core";
import { World } from "@gooseberryline/fakes";
import { buildWorldConfig } from "../world/build_world_config.ts";
import type { Measure, MeasureRow } from "./types.ts";

const NAME = "config-spread";
const DATA_CENTRES = Array.from({ length: 22 }, (_, index) => `dc${index}`);
const INSTANCES_EACH = 20;
const CUSTOMERS = 410;
const UPSTREAMS_EACH = 10;
const WARM_UP_MS = 1_500;
const CHANGES = 3;
const CHANGE_LIMIT_MS = 11_000;
const STEP_MS = 20;
const MS_PER_SECOND = 1_000;
/** A watch without changes lasts 3 s; a read follows it, hence two calls. */
const WATCH_MS = 3_000;
const CALLS_PER_WATCH = 2;

/** Propagation time and cost of a configuration change at 440 instances. */
export const CONFIG_SPREAD: Measure = {
  name: NAME,
  target: "in force <= 11000 ms",
  run: (seed) => Promise.resolve(measureConfigSpread(seed)),
};

function measureConfigSpread(seed: number): readonly MeasureRow[] {
  const world = buildWorld(seed);
  world.runFor(WARM_UP_MS);
  const { ledger } = world;
  const watcherCount = world.instanceIds.filter(
    (id) => world.getState(id)?.configPropagation.isWatching,
  ).length;
  const callsPerWatcher = (CALLS_PER_WATCH * MS_PER_SECOND) / WATCH_MS;
  const sentBefore = ledger.countMessages("config-sent");
  const bytesBefore = ledger.countBytes("config-sent");
  const times = Array.from({ length: CHANGES }, (_, index) =>
    measureChangeMs(world, index + 1),
  );
  const nodes = world.instanceIds.length;
  const perChange = nodes * CHANGES;
  const sent = (ledger.countMessages("config-sent") - sentBefore) / perChange;
  const bytes = (ledger.countBytes("config-sent") - bytesBefore) / perChange;
  const documentBytes = JSON.stringify(world.config).length;
  const buildRow = (
    policy: string,
    unit: string,
    value: number,
  ): MeasureRow => ({
    measure: NAME,
    policy,
    value: Math.round(value * 100) / 100,
    unit,
    seed,
  });
  return [
    buildRow("product", "ms to the last instance, worst", Math.max(...times)),
    buildRow("product", "bytes a change and node", bytes),
    buildRow("whole-document", "bytes a change and node", sent * documentBytes),
    buildRow(
      "product",
      "platform calls a second",
      watcherCount * callsPerWatcher,
    ),
    buildRow(
      "every-instance-watches",
      "platform calls a second",
      nodes * callsPerWatcher,
    ),
  ];
}

function buildWorld(seed: number): World {
  return new World({
    seed,
    document: buildWorldConfig({
      dataCentres: DATA_CENTRES,
      upstreamsPerDataCentre: UPSTREAMS_EACH,
      customers: Array.from({ length: CUSTOMERS }, (_, index) => `c${index}`),
    }),
    instances: Object.fromEntries(
      DATA_CENTRES.map((id) => [id, INSTANCES_EACH]),
    ),
  });
}

/** Changes one customer's rate; returns the propagation time, or the limit. */
function measureChangeMs(world: World, rate: number): number {
  const { revision } = world.setConfig(changeRate(world.config.document, rate));
  const startedMs = world.nowMs;
  const isInForce = (): boolean =>
    world.instanceIds.every(
      (id) => world.getState(id)?.config?.revision === revision,
    );
  const waitUntilInForce = (): number => {
    const elapsedMs = world.nowMs - startedMs;
    if (elapsedMs >= CHANGE_LIMIT_MS || isInForce()) {
      return elapsedMs;
    }
    world.runFor(STEP_MS);
    return waitUntilInForce();
  };
  return waitUntilInForce();
}

function changeRate(document: ConfigDocument, rate: number): ConfigDocument {
  const customers = Object.fromEntries(
    Object.entries(document.customers).map(([id, customer], index) => [
      id,
      index === 0 ? { ...customer, rate } : customer,
    ]),
  );
  return { ...document, customers };
}
