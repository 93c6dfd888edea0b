import { DESIGN_SIZE } from "../constants.ts";
import { measureFleet, type NodeCost } from "../measure_fleet.ts";
import type { Experiment } from "../types.ts";

const CUSTOMERS = [8, 16, 32, 64];
const INSTANCES = 4;

const measureCustomers = (customers: number, seed: number): NodeCost =>
  measureFleet({
    seed,
    dataCentres: 1,
    instancesEach: INSTANCES,
    upstreamsEach: 16,
    customers,
    requestRate: 40,
  });

const sharedFields = {
  role: "admission and shares",
  variable: "customers, 10 requests a second at the node",
  values: CUSTOMERS,
  target: DESIGN_SIZE.CUSTOMERS,
  mechanism: "core/src/shares",
} as const;

/** Experiments on shares of customer limits and loans between instances. */
export const ADMISSION_EXPERIMENTS: readonly Experiment[] = [
  {
    ...sharedFields,
    quantity: "messages sent by a node",
    unit: "1/s",
    measure: (x, seed) => measureCustomers(x, seed).messages,
  },
  {
    ...sharedFields,
    quantity: "bytes sent by a node",
    unit: "B/s",
    limit: DESIGN_SIZE.CONTROL_BYTES_PER_SECOND,
    measure: (x, seed) => measureCustomers(x, seed).messageBytes,
  },
  {
    ...sharedFields,
    quantity: "processor time of a node",
    unit: "ms/s",
    limit: DESIGN_SIZE.CONTROL_CPU_MS_PER_SECOND,
    measure: (x, seed) => measureCustomers(x, seed).cpuMs,
  },
  {
    ...sharedFields,
    quantity: "platform writes of the whole fleet, were all nodes alike",
    unit: "1/s",
    limit: DESIGN_SIZE.PLATFORM_WRITES_PER_SECOND,
    measure: (x, seed) =>
      measureCustomers(x, seed).platformWrites * DESIGN_SIZE.NODES,
  },
  {
    ...sharedFields,
    quantity: "platform reads of the whole fleet, were all nodes alike",
    unit: "1/s",
    limit: DESIGN_SIZE.PLATFORM_READS_PER_SECOND,
    measure: (x, seed) =>
      measureCustomers(x, seed).platformReads * DESIGN_SIZE.NODES,
  },
];
