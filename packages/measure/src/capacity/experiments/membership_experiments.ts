import { DESIGN_SIZE } from "../constants.ts";
import { measureFleet, type NodeCost } from "../measure_fleet.ts";
import { measureSerializedBytes } from "../measure_serialized_bytes.ts";
import type { Experiment } from "../types.ts";

const ROLE = "membership";
const INSTANCES = [3, 6, 12, 24];
const DATA_CENTRES = [2, 4, 8, 16];

const measureOneDataCentre = (instancesEach: number, seed: number): NodeCost =>
  measureFleet({
    seed,
    dataCentres: 1,
    instancesEach,
    upstreamsEach: 8,
    customers: 8,
    requestRate: 0,
  });

const measureDataCentres = (dataCentres: number, seed: number): NodeCost =>
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
  target: DESIGN_SIZE.NODES_PER_DATA_CENTRE,
  mechanism: "core/src/membership",
} as const;

const perDataCentre = {
  role: ROLE,
  variable: "data centres of 3 instances",
  values: DATA_CENTRES,
  target: DESIGN_SIZE.DATA_CENTRES,
  mechanism: "core/src/membership",
} as const;

/** Experiments on heartbeats and the member table of an idle fleet. */
export const MEMBERSHIP_EXPERIMENTS: readonly Experiment[] = [
  {
    ...perInstance,
    quantity: "messages sent by a node",
    unit: "1/s",
    measure: (x, seed) => measureOneDataCentre(x, seed).messages,
  },
  {
    ...perInstance,
    quantity: "bytes sent by a node",
    unit: "B/s",
    limit: DESIGN_SIZE.CONTROL_BYTES_PER_SECOND,
    measure: (x, seed) => measureOneDataCentre(x, seed).messageBytes,
  },
  {
    ...perInstance,
    quantity: "processor time of an idle node",
    unit: "ms/s",
    limit: DESIGN_SIZE.CONTROL_CPU_MS_PER_SECOND,
    measure: (x, seed) => measureOneDataCentre(x, seed).cpuMs,
  },
  {
    ...perDataCentre,
    quantity: "bytes sent by a node",
    unit: "B/s",
    limit: DESIGN_SIZE.CONTROL_BYTES_PER_SECOND,
    measure: (x, seed) => measureDataCentres(x, seed).messageBytes,
  },
  {
    ...perDataCentre,
    variable: "instances known",
    values: DATA_CENTRES.map((count) => count * 3),
    target: DESIGN_SIZE.NODES,
    quantity: "state of a node",
    unit: "B",
    limit: DESIGN_SIZE.CONTROL_MEMORY_BYTES,
    measure: (x, seed) =>
      measureSerializedBytes(measureDataCentres(x / 3, seed).state.membership),
  },
];
