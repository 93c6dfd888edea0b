import { measureOnlineBatch } from "./online_batch.ts";
import type { Measure } from "./types.ts";

/** Completed batch items relative to a scheduler that knows all arrivals. */
export const BATCH_THROUGHPUT: Measure = {
  name: "batch-throughput",
  target: ">= 0.9 of the ideal",
  run: async (seed) =>
    measureOnlineBatch(seed).filter(
      ({ measure }) => measure === "batch-throughput",
    ),
};
