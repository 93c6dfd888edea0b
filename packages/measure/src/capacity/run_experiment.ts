import { fitLine } from "./fit_line.ts";
import type { Experiment, Slope } from "./types.ts";

/** Measures an experiment's points and carries the line to its target. */
export function runExperiment(experiment: Experiment, seed: number): Slope {
  const { values, target, measure, limit, ...about } = experiment;
  const points = values.map((x) => ({ x, y: measure(x, seed) }));
  const { slope, intercept, fit } = fitLine(points);
  return {
    role: about.role,
    quantity: about.quantity,
    unit: about.unit,
    variable: about.variable,
    mechanism: about.mechanism,
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
