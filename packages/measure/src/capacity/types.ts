/** Capacity experiments: cost per role, extrapolated from one process. */

/** A measured value `y` at the variable's value `x`. */
export type Point = { readonly x: number; readonly y: number };

/** An experiment: which variable is varied and which quantity is measured. */
export type Experiment = {
  /** Subsystem that is measured, e.g. "membership". */
  readonly role: string;
  /** Measured quantity, e.g. "messages sent by a node". */
  readonly quantity: string;
  readonly unit: string;
  /** Varied quantity, e.g. "instances in the data centre". */
  readonly variable: string;
  /** Values of the variable: at least four, spanning a factor of eight. */
  readonly values: readonly number[];
  /** Value of the variable at the fleet size to design for. */
  readonly target: number;
  /** Upper limit of the quantity at the target; absent if there is none. */
  readonly limit?: number;
  /** Modules that implement what is measured, relative to `packages/`. */
  readonly mechanism: string;
  readonly measure: (x: number, seed: number) => number;
};

/** Measured points of an experiment, extrapolated linearly to the target. */
export type ExperimentResult = {
  readonly role: string;
  readonly quantity: string;
  readonly unit: string;
  readonly variable: string;
  readonly points: readonly Point[];
  readonly slope: number;
  readonly intercept: number;
  /** Coefficient of determination (R²) of the fit. */
  readonly fit: number;
  readonly target: number;
  readonly atTarget: number;
  /** Ratio of the target to the largest measured value of the variable. */
  readonly reach: number;
  readonly limit: number | null;
  readonly mechanism: string;
  readonly seed: number;
};
