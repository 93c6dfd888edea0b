/** Measurements that compare the product's policy with named baselines. */

/** One output row of `npm run measure -- --json`. */
export type MeasureRow = {
  readonly measure: string;
  /** "product" or the name of a baseline. */
  readonly policy: string;
  readonly value: number;
  readonly unit: string;
  readonly seed: number;
};

/** A measurement whose random input is derived from a seed. */
export type Measure = {
  readonly name: string;
  /** Required result, e.g. "<= 0.001". */
  readonly target: string;
  readonly run: (seed: number) => Promise<readonly MeasureRow[]>;
};
