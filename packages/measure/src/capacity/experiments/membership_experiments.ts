import { TARGET } from "../constants.ts";
import { measureBytes } from "../measure_bytes.ts";
import { measureFleet, type NodeCost } from "../measure_fleet.ts";
import type { Experiment } from "../types.ts";

const ROLE = "membership";
const INSTANCES = [3, 6, 12, 24];
const DATA_CENTRES = [2, 4, 8, 16];

const measureOne = (instancesEach: number, seed: number): NodeCost =>
  measureFleet({
    seed,
    dataCentres: 1,
    instancesEach,
    upstreamsEach: 8,
    customers: 8,
    requestRate: 0,
  });

const measureMany = (dataCentres: number, seed: number): NodeCost =>
  measureFleet({
    seed,
    dataCentres,
    instancesEach: 3,
    upstreamsEach: 2,
    customers: 8,
    requestRate: 0,
  });

const perInstance = {
  role: ROLE,
  variable: "instances in the data centre",
  values: INSTANCES,
  target: TARGET.NODES_EACH,
  mechanism: "core/src/membership",
} as const;

const perDataCentre = {
  role: ROLE,
  variable: "data centres of 3 instances",
  values: DATA_CENTRES,
  target: TARGET.DATA_CENTRES,
  mechanism: "core/src/membership",
} as const;

/** Heartbeats and the table of members, in an idle fleet. */
export const MEMBERSHIP_EXPERIMENTS: readonly Experiment[] = [
  {
    ...perInstance,
    quantity: "messages sent by a node",
    unit: "1/s",
    measure: (x, seed) => measureOne(x, seed).messages,
  },
  {
    ...perInstance,
    quantity: "bytes sent by a node",
    unit: "B/s",
    limit: TARGET.CONTROL_BYTES,
    measure: (x, seed) => measureOne(x, seed).messageBytes,
  },
  {
    ...perInstance,
    quantity: "processor time of an idle node",
    unit: "ms/s",
    limit: TARGET.CONTROL_CPU_MS,
    measure: (x, seed) => measureOne(x, seed).cpuMs,
  },
  {
    ...perDataCentre,
    quantity: "bytes sent by a node",
    unit: "B/s",
    limit: TARGET.CONTROL_BYTES,
    measure: (x, seed) => measureMany(x, seed).messageBytes,
  },
  {
    ...perDataCentre,
    variable: "instances known",
    values: DATA_CENTRES.map((count) => count * 3),
    target: TARGET.NODES,
    quantity: "state of a node",
    unit: "B",
    limit: TARGET.CONTROL_MEMORY_BYTES,
    measure: (x, seed) =>
      measureBytes(measureMany(x / 3, seed).state.membership),
  },
];
