/** Measurements: the product's policy beside named baselines. */

/** One line of `npm run measure -- --json`. */
export type MeasureRow = {
  readonly measure: string;
  /** "product" or the name of a baseline. */
  readonly policy: string;
  readonly value: number;
  readonly unit: string;
  readonly seed: number;
};

/** A measurement that repeats from its seed. */
export type Measure = {
  readonly name: string;
  /** What must be reached, e.g. "<= 0.001". */
  readonly target: string;
  readonly run: (seed: number) => Promise<readonly MeasureRow[]>;
};
