import { BATCH_THROUGHPUT } from "./batch_throughput.ts";
import { CONFIG_SPREAD } from "./config_spread.ts";
import { DATA_CENTRE_LEAVE } from "./data_centre_leave.ts";
import { ITEM_ORDER } from "./item_order.ts";
import { JOB_THROUGHPUT } from "./job_throughput.ts";
import { JOB_WRITES } from "./job_writes.ts";
import { ONLINE_P95_FIRST_TOKEN } from "./online_p95_first_token.ts";
import { ONLINE_P99 } from "./online_p99.ts";
import { RELAY_OVERHEAD } from "./relay_overhead.ts";
import type { Measure } from "./types.ts";
import { WORST_CUSTOMER_GOODPUT } from "./worst_customer_goodput.ts";

/** All measurements, in execution order. */
export const MEASURE_LIST: readonly Measure[] = [
  RELAY_OVERHEAD,
  JOB_WRITES,
  JOB_THROUGHPUT,
  CONFIG_SPREAD,
  BATCH_THROUGHPUT,
  ITEM_ORDER,
  ONLINE_P99,
  WORST_CUSTOMER_GOODPUT,
  ONLINE_P95_FIRST_TOKEN,
  DATA_CENTRE_LEAVE,
];
