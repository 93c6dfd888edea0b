import { RELAY_OVERHEAD } from "./relay_overhead.ts";
import type { Measure } from "./types.ts";

/** Every measurement, in the order in which they run. */
export const MEASURE_LIST: readonly Measure[] = [RELAY_OVERHEAD];
