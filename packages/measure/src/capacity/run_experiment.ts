import { fitLine } from "./fit_line.ts";
import type { Experiment, ExperimentResult } from "./types.ts";

/** Measures an experiment's points and extrapolates them to the target size. */
export function runExperiment(
  experiment: Experiment,
  seed: number,
): ExperimentResult {
  const { values, target, measure, limit, ...labels } = experiment;
  const points = values.map((x) => ({ x, y: measure(x, seed) }));
  const { slope, intercept, fit } = fitLine(points);
  return {
    role: labels.role,
    quantity: labels.quantity,
    unit: labels.unit,
    variable: labels.variable,
    mechanism: labels.mechanism,
    points,
    slope,
    intercept,
    fit,
    target,
    atTarget: Math.max(0, intercept + slope * target),
    reach: target / Math.max(...values),
    limit: limit ?? null,
    seed,
  };
}
