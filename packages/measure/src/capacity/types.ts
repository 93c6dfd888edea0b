/** What each role costs, from slopes measured in one process. */

/** One measured point. */
export type Point = { readonly x: number; readonly y: number };

/** What is varied, measured and carried to the size to design for. */
export type Experiment = {
  /** Role of the system, e.g. "membership". */
  readonly role: string;
  /** What is measured, e.g. "messages sent a second and node". */
  readonly quantity: string;
  readonly unit: string;
  /** What is varied, e.g. "instances in the data centre". */
  readonly variable: string;
  /** At least four values that span a factor of eight. */
  readonly values: readonly number[];
  /** Value of the variable at the size to design for. */
  readonly target: number;
  /** Most that the quantity may come to there; absent where none is set. */
  readonly limit?: number;
  /** Modules that carry it, below `packages/`. */
  readonly mechanism: string;
  readonly measure: (x: number, seed: number) => number;
};

/** A straight line through measured points, carried to the target. */
export type Slope = {
  readonly role: string;
  readonly quantity: string;
  readonly unit: string;
  readonly variable: string;
  readonly points: readonly Point[];
  readonly slope: number;
  readonly intercept: number;
  /** Share of the variance that the line explains. */
  readonly fit: number;
  readonly target: number;
  readonly atTarget: number;
  /** How far past the largest measured value the target lies, as a factor. */
  readonly reach: number;
  readonly limit: number | null;
  readonly mechanism: string;
  readonly seed: number;
};
