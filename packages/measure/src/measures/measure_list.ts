import type { Measure } from "./types.ts";

/** Every measurement, in the order in which they run. */
export const MEASURE_LIST: readonly Measure[] = [];
