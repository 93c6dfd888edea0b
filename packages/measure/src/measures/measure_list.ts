import { CONFIG_SPREAD } from "./config_spread.ts";
import { JOB_THROUGHPUT } from "./job_throughput.ts";
import { JOB_WRITES } from "./job_writes.ts";
import { RELAY_OVERHEAD } from "./relay_overhead.ts";
import type { Measure } from "./types.ts";

/** Every measurement, in the order in which they run. */
export const MEASURE_LIST: readonly Measure[] = [
  RELAY_OVERHEAD,
  JOB_WRITES,
  JOB_THROUGHPUT,
  CONFIG_SPREAD,
];
