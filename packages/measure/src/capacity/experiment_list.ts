import { ADMISSION_EXPERIMENTS } from "./experiments/admission_experiments.ts";
import { CONFIG_EXPERIMENTS } from "./experiments/config_experiments.ts";
import { GATEWAY_EXPERIMENTS } from "./experiments/gateway_experiments.ts";
import { MEMBERSHIP_EXPERIMENTS } from "./experiments/membership_experiments.ts";
import { REPORT_EXPERIMENTS } from "./experiments/report_experiments.ts";
import { ROUTING_EXPERIMENTS } from "./experiments/routing_experiments.ts";
import type { Experiment } from "./types.ts";

/** All experiments of the capacity page, grouped by role. */
export const EXPERIMENT_LIST: readonly Experiment[] = [
  ...MEMBERSHIP_EXPERIMENTS,
  ...ADMISSION_EXPERIMENTS,
  ...ROUTING_EXPERIMENTS,
  ...CONFIG_EXPERIMENTS,
  ...REPORT_EXPERIMENTS,
  ...GATEWAY_EXPERIMENTS,
];
