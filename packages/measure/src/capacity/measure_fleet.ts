import type { InstanceState } from "@gooseberryline/core";
import { World } from "@gooseberryline/fakes";
import { buildWorldConfig } from "../world/build_world_config.ts";
import { generateArrivals } from "../world/generate_arrivals.ts";
import { type MeterReading, StepMeter } from "./step_meter.ts";

const WARM_UP_MS = 15_000;
const MEASUREMENT_MS = 20_000;
const MS_PER_SECOND = 1_000;

/** Dimensions of a simulated fleet with identical data centres. */
export type FleetSize = {
  readonly seed: number;
  readonly dataCentres: number;
  readonly instancesEach: number;
  readonly upstreamsEach: number;
  readonly customers: number;
  /** Requests per second, over all instances and customers. */
  readonly requestRate: number;
};

/** Mean work of one node per second, with the state of one node. */
export type NodeCost = {
  readonly messages: number;
  readonly messageBytes: number;
  readonly cpuMs: number;
  readonly platformReads: number;
  readonly platformWrites: number;
  readonly state: InstanceState;
  readonly total: MeterReading;
};

/** Runs a fleet in virtual time and measures the control cost per node. */
export function measureFleet(size: FleetSize): NodeCost {
  const meter = new StepMeter();
  const ids = Array.from(
    { length: size.dataCentres },
    (_, index) => `d${index}`,
  );
  const customers = Array.from(
    { length: size.customers },
    (_, index) => `c${index}`,
  );
  const world = new World({
    seed: size.seed,
    document: buildWorldConfig({
      dataCentres: ids,
      upstreamsPerDataCentre: size.upstreamsEach,
      customers,
      rate: (2 * size.requestRate) / size.customers + 1,
      burst: (2 * size.requestRate) / size.customers + 1,
    }),
    instances: Object.fromEntries(ids.map((id) => [id, size.instancesEach])),
    step: meter.step,
  });
  if (size.requestRate > 0) {
    customers.forEach((customer, index) => {
      generateArrivals(world, {
        seed: size.seed * 1_000 + index,
        customer,
        rate: size.requestRate / size.customers,
        untilMs: WARM_UP_MS + MEASUREMENT_MS,
      });
    });
  }
  world.runFor(WARM_UP_MS);
  meter.reset();
  world.runFor(MEASUREMENT_MS);
  return computeNodeCost(world, meter.reading);
}

function computeNodeCost(world: World, total: MeterReading): NodeCost {
  const ids = world.instanceIds;
  const [first] = ids;
  const state = first === undefined ? undefined : world.getState(first);
  if (state === undefined) {
    throw new Error("the fleet has no instances");
  }
  const seconds = MEASUREMENT_MS / MS_PER_SECOND;
  const toNodeRate = (count: number): number => count / seconds / ids.length;
  return {
    messages: toNodeRate(total.messages),
    messageBytes: toNodeRate(total.messageBytes),
    cpuMs: toNodeRate(total.cpuMs),
    platformReads: toNodeRate(total.platformReads),
    platformWrites: toNodeRate(total.platformWrites),
    state,
    total,
  };
}
