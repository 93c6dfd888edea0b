import { computeGossipIntervalMs } from "@gooseberryline/gateway";
import { DESIGN_SIZE } from "../constants.ts";
import { measureGateway } from "../measure_gateway.ts";
import type { Experiment } from "../types.ts";

const MS_PER_SECOND = 1_000;
const INSTANCES = [3, 6, 12, 24];
const UPSTREAMS = [8, 16, 32, 64];
const CUSTOMERS = [8, 16, 32, 64];
/** Current fleet size, used for the dimensions that are not varied. */
const CURRENT_SIZE = {
  instances: 9,
  upstreams: 8,
  customers: 8,
  jobs: 4,
} as const;

/** Returns the load messages per second that an instance sends to its peers. */
function computeMessagesPerSecond(instances: number): number {
  return ((instances - 1) * MS_PER_SECOND) / computeGossipIntervalMs(instances);
}

/** Experiments on the gateway: load messages and request placement. */
export const GATEWAY_EXPERIMENTS: readonly Experiment[] = [
  {
    role: "gateway",
    quantity: "size of a load message",
    unit: "B",
    variable: "upstreams with own work",
    values: UPSTREAMS,
    target: DESIGN_SIZE.UPSTREAMS_PER_DATA_CENTRE,
    mechanism: "gateway/src/fleet",
    measure: (x) =>
      measureGateway({ ...CURRENT_SIZE, upstreams: x }).messageBytes,
  },
  {
    role: "gateway",
    quantity: "size of a load message",
    unit: "B",
    variable: "customers with a limit",
    values: CUSTOMERS,
    target: DESIGN_SIZE.CUSTOMERS,
    mechanism: "gateway/src/fleet",
    measure: (x) =>
      measureGateway({ ...CURRENT_SIZE, customers: x }).messageBytes,
  },
  {
    role: "gateway",
    quantity: "bytes sent by a node",
    unit: "B/s",
    variable: "instances in the data centre",
    values: INSTANCES,
    target: DESIGN_SIZE.NODES_PER_DATA_CENTRE,
    limit: DESIGN_SIZE.CONTROL_BYTES_PER_SECOND,
    mechanism: "gateway/src/fleet",
    measure: (x) => {
      const { messageBytes } = measureGateway({
        ...CURRENT_SIZE,
        instances: x,
      });
      return messageBytes * computeMessagesPerSecond(x);
    },
  },
  {
    role: "gateway",
    quantity: "processor time to take peers' messages",
    unit: "ms/s",
    variable: "instances in the data centre",
    values: INSTANCES,
    target: DESIGN_SIZE.NODES_PER_DATA_CENTRE,
    limit: DESIGN_SIZE.CONTROL_CPU_MS_PER_SECOND,
    mechanism: "gateway/src/fleet",
    measure: (x) => {
      const { handleMs: takeMs } = measureGateway({
        ...CURRENT_SIZE,
        instances: x,
      });
      return takeMs * computeMessagesPerSecond(x);
    },
  },
  {
    role: "gateway",
    quantity: "processor time to place requests at the peak",
    unit: "ms/s",
    variable: "upstreams in the data centre",
    values: UPSTREAMS,
    target: DESIGN_SIZE.UPSTREAMS_PER_DATA_CENTRE,
    limit: DESIGN_SIZE.CONTROL_CPU_MS_PER_SECOND,
    mechanism: "core/src/placing",
    measure: (x) => {
      const { placeMs } = measureGateway({ ...CURRENT_SIZE, upstreams: x });
      return placeMs * DESIGN_SIZE.REQUESTS_PER_SECOND_PER_NODE;
    },
  },
];
