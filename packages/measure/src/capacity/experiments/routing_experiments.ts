import { TARGET } from "../constants.ts";
import { measureBytes } from "../measure_bytes.ts";
import { measureFleet, type NodeCost } from "../measure_fleet.ts";
import type { Experiment } from "../types.ts";

const UPSTREAMS = [8, 16, 32, 64];
const RATES = [10, 20, 40, 80];
const INSTANCES = 4;

const measureWith = (
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

/** Upstream state, and what a request costs the core. */
export const ROUTING_EXPERIMENTS: readonly Experiment[] = [
  {
    role: "routing",
    quantity: "state of a node",
    unit: "B",
    variable: "upstreams in the data centre",
    values: UPSTREAMS,
    target: TARGET.UPSTREAMS_EACH,
    limit: TARGET.CONTROL_MEMORY_BYTES,
    mechanism: "core/src/upstreams",
    measure: (x, seed) =>
      measureBytes(
        measureWith({ upstreams: x, rate: 8 }, seed).state.upstreams,
      ),
  },
  {
    role: "routing",
    quantity: "processor time of a node at 10 requests a second",
    unit: "ms/s",
    variable: "upstreams in the data centre",
    values: UPSTREAMS,
    target: TARGET.UPSTREAMS_EACH,
    limit: TARGET.CONTROL_CPU_MS,
    mechanism: "core/src/upstreams",
    measure: (x, seed) => measureWith({ upstreams: x, rate: 40 }, seed).cpuMs,
  },
  {
    role: "routing",
    quantity: "processor time of a node",
    unit: "ms/s",
    variable: "requests a second at the node",
    values: RATES.map((rate) => rate / INSTANCES),
    target: TARGET.REQUESTS_EACH,
    limit: TARGET.CONTROL_CPU_MS,
    mechanism: "core/src/work",
    measure: (x, seed) =>
      measureWith({ upstreams: 16, rate: x * INSTANCES }, seed).cpuMs,
  },
  {
    role: "run records",
    quantity: "bytes written by a node",
    unit: "B/s",
    variable: "requests a second at the node",
    values: RATES.map((rate) => rate / INSTANCES),
    target: TARGET.REQUESTS_EACH + TARGET.ITEMS_EACH,
    mechanism: "core/src/work/record_run.ts",
    measure: (x, seed) => {
      const { total } = measureWith(
        { upstreams: 16, rate: x * INSTANCES },
        seed,
      );
      return total.runRecordBytes / INSTANCES / 20;
    },
  },
];
