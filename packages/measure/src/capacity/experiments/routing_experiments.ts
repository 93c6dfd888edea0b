import { DESIGN_SIZE } from "../constants.ts";
import { measureFleet, type NodeCost } from "../measure_fleet.ts";
import { measureSerializedBytes } from "../measure_serialized_bytes.ts";
import type { Experiment } from "../types.ts";

const UPSTREAMS = [8, 16, 32, 64];
const RATES = [10, 20, 40, 80];
const INSTANCES = 4;

const measureRouting = (
  size: { readonly upstreams: number; readonly rate: number },
  seed: number,
): NodeCost =>
  measureFleet({
    seed,
    dataCentres: 1,
    instancesEach: INSTANCES,
    upstreamsEach: size.upstreams,
    customers: 8,
    requestRate: size.rate,
  });

/** Experiments on upstream state and on the core's cost per request. */
export const ROUTING_EXPERIMENTS: readonly Experiment[] = [
  {
    role: "routing",
    quantity: "state of a node",
    unit: "B",
    variable: "upstreams in the data centre",
    values: UPSTREAMS,
    target: DESIGN_SIZE.UPSTREAMS_PER_DATA_CENTRE,
    limit: DESIGN_SIZE.CONTROL_MEMORY_BYTES,
    mechanism: "core/src/upstreams",
    measure: (x, seed) =>
      measureSerializedBytes(
        measureRouting({ upstreams: x, rate: 8 }, seed).state.upstreams,
      ),
  },
  {
    role: "routing",
    quantity: "processor time of a node at 10 requests a second",
    unit: "ms/s",
    variable: "upstreams in the data centre",
    values: UPSTREAMS,
    target: DESIGN_SIZE.UPSTREAMS_PER_DATA_CENTRE,
    limit: DESIGN_SIZE.CONTROL_CPU_MS_PER_SECOND,
    mechanism: "core/src/upstreams",
    measure: (x, seed) =>
      measureRouting({ upstreams: x, rate: 40 }, seed).cpuMs,
  },
  {
    role: "routing",
    quantity: "processor time of a node",
    unit: "ms/s",
    variable: "requests a second at the node",
    values: RATES.map((rate) => rate / INSTANCES),
    target: DESIGN_SIZE.REQUESTS_PER_SECOND_PER_NODE,
    limit: DESIGN_SIZE.CONTROL_CPU_MS_PER_SECOND,
    mechanism: "core/src/work",
    measure: (x, seed) =>
      measureRouting({ upstreams: 16, rate: x * INSTANCES }, seed).cpuMs,
  },
  {
    role: "run records",
    quantity: "bytes written by a node",
    unit: "B/s",
    variable: "requests a second at the node",
    values: RATES.map((rate) => rate / INSTANCES),
    target:
      DESIGN_SIZE.REQUESTS_PER_SECOND_PER_NODE +
      DESIGN_SIZE.ITEMS_PER_SECOND_PER_NODE,
    mechanism: "core/src/work/record_run.ts",
    measure: (x, seed) => {
      const { total } = measureRouting(
        { upstreams: 16, rate: x * INSTANCES },
        seed,
      );
      return total.runRecordBytes / INSTANCES / 20;
    },
  },
];
