/** Token buckets that bound admissions. */

/** A bucket of `tokens` at `atMs`, refilled at `ratePerSecond` up to `cap`. */
export type Bucket = {
  readonly tokens: number;
  readonly cap: number;
  readonly ratePerSecond: number;
  readonly atMs: number;
};
