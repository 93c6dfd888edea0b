import { countGossipMs } from "@gooseberryline/gateway";
import { TARGET } from "../constants.ts";
import { measureGateway } from "../measure_gateway.ts";
import type { Experiment } from "../types.ts";

const MS_PER_SECOND = 1_000;
const INSTANCES = [3, 6, 12, 24];
const UPSTREAMS = [8, 16, 32, 64];
const CUSTOMERS = [8, 16, 32, 64];
/** Today's sizes, where nothing else is varied. */
const TODAY = { instances: 9, upstreams: 8, customers: 8, jobs: 4 } as const;

/** Load messages that an instance sends to all its peers, a second. */
function countMessages(instances: number): number {
  return ((instances - 1) * MS_PER_SECOND) / countGossipMs(instances);
}

/** The gateway on the users' platform: load messages and placing. */
export const GATEWAY_EXPERIMENTS: readonly Experiment[] = [
  {
    role: "gateway",
    quantity: "size of a load message",
    unit: "B",
    variable: "upstreams with own work",
    values: UPSTREAMS,
    target: TARGET.UPSTREAMS_EACH,
    mechanism: "gateway/src/fleet",
    measure: (x) => measureGateway({ ...TODAY, upstreams: x }).messageBytes,
  },
  {
    role: "gateway",
    quantity: "size of a load message",
    unit: "B",
    variable: "customers with a limit",
    values: CUSTOMERS,
    target: TARGET.CUSTOMERS,
    mechanism: "gateway/src/fleet",
    measure: (x) => measureGateway({ ...TODAY, customers: x }).messageBytes,
  },
  {
    role: "gateway",
    quantity: "bytes sent by a node",
    unit: "B/s",
    variable: "instances in the data centre",
    values: INSTANCES,
    target: TARGET.NODES_EACH,
    limit: TARGET.CONTROL_BYTES,
    mechanism: "gateway/src/fleet",
    measure: (x) => {
      const { messageBytes } = measureGateway({ ...TODAY, instances: x });
      return messageBytes * countMessages(x);
    },
  },
  {
    role: "gateway",
    quantity: "processor time to take peers' messages",
    unit: "ms/s",
    variable: "instances in the data centre",
    values: INSTANCES,
    target: TARGET.NODES_EACH,
    limit: TARGET.CONTROL_CPU_MS,
    mechanism: "gateway/src/fleet",
    measure: (x) => {
      const { takeMs } = measureGateway({ ...TODAY, instances: x });
      return takeMs * countMessages(x);
    },
  },
  {
    role: "gateway",
    quantity: "processor time to place requests at the peak",
    unit: "ms/s",
    variable: "upstreams in the data centre",
    values: UPSTREAMS,
    target: TARGET.UPSTREAMS_EACH,
    limit: TARGET.CONTROL_CPU_MS,
    mechanism: "core/src/placing",
    measure: (x) => {
      const { placeMs } = measureGateway({ ...TODAY, upstreams: x });
      return placeMs * TARGET.REQUESTS_EACH;
    },
  },
];
