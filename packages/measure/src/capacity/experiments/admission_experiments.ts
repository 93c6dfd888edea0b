import { TARGET } from "../constants.ts";
import { measureFleet, type NodeCost } from "../measure_fleet.ts";
import type { Experiment } from "../types.ts";

const CUSTOMERS = [8, 16, 32, 64];
const INSTANCES = 4;

const measureWith = (customers: number, seed: number): NodeCost =>
  measureFleet({
    seed,
    dataCentres: 1,
    instancesEach: INSTANCES,
    upstreamsEach: 16,
    customers,
    requestRate: 40,
  });

const common = {
  role: "admission and shares",
  variable: "customers, 10 requests a second at the node",
  values: CUSTOMERS,
  target: TARGET.CUSTOMERS,
  mechanism: "core/src/shares",
} as const;

/** Shares of customers' limits and the loans between instances. */
export const ADMISSION_EXPERIMENTS: readonly Experiment[] = [
  {
    ...common,
    quantity: "messages sent by a node",
    unit: "1/s",
    measure: (x, seed) => measureWith(x, seed).messages,
  },
  {
    ...common,
    quantity: "bytes sent by a node",
    unit: "B/s",
    limit: TARGET.CONTROL_BYTES,
    measure: (x, seed) => measureWith(x, seed).messageBytes,
  },
  {
    ...common,
    quantity: "processor time of a node",
    unit: "ms/s",
    limit: TARGET.CONTROL_CPU_MS,
    measure: (x, seed) => measureWith(x, seed).cpuMs,
  },
  {
    ...common,
    quantity: "platform writes of the whole fleet, were all nodes alike",
    unit: "1/s",
    limit: TARGET.PLATFORM_WRITES,
    measure: (x, seed) => measureWith(x, seed).platformWrites * TARGET.NODES,
  },
  {
    ...common,
    quantity: "platform reads of the whole fleet, were all nodes alike",
    unit: "1/s",
    limit: TARGET.PLATFORM_READS,
    measure: (x, seed) => measureWith(x, seed).platformReads * TARGET.NODES,
  },
];
