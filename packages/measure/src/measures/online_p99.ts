import { measureOnlineBatch } from "./online_batch.ts";
import type { Measure } from "./types.ts";

/** 99th percentile of online latency, compared with a run without batch. */
export const ONLINE_P99: Measure = {
  name: "online-p99",
  target: "<= 5 % rise",
  run: async (seed) =>
    measureOnlineBatch(seed).filter(({ measure }) => measure === "online-p99"),
};
