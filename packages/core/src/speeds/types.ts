/**
 * How fast upstreams are, relative to the others of their service. Slowness is
 * the time that an upstream takes divided by what others take for like requests;
 * it is averaged as its natural logarithm.
 */

/** What answers show of one upstream; it loses weight with age. */
export type SpeedEvidence = {
  /** Weighted mean of the logarithms of its slowness. */
  readonly logMean: number;
  /** Number of samples that it counts for, at `atMs`. */
  readonly weight: number;
  readonly atMs: number;
};

/** Evidence of one instance, with what its last samples contradict. */
export type SpeedRecord = SpeedEvidence & {
  /** Consecutive samples far from the mean on the same side; negative below. */
  readonly surprises: number;
};

/** What like requests take at all upstreams of a service. */
export type LikeTime = {
  /** Mean logarithm of the time, in ms, as at a usual upstream. */
  readonly logMs: number;
  /** Variance of the logarithms, upstreams' known slowness taken out. */
  readonly variance: number;
  readonly samples: number;
};

/** What is measured of an answer. */
export const SPEED_MEASURES = {
  /** From sending the request to the first event. */
  first: "first",
  /** Between two events. */
  event: "event",
  /** From sending the request to the end of an answer without events. */
  whole: "whole",
} as const;
export type SpeedMeasure = (typeof SPEED_MEASURES)[keyof typeof SPEED_MEASURES];

/** What the time of a request depends on beside its upstream. */
export type LikeRequest = {
  readonly measure: SpeedMeasure;
  readonly service: string;
  /** Tokens of the prompt and at most of the output; undefined if not told. */
  readonly tokens: RequestTokens | undefined;
  /** Part of the upstream's slots in use. */
  readonly load: number;
};

/** Size of a request, in tokens. */
export type RequestTokens = {
  readonly prompt: number;
  /** Most tokens that its output may have. */
  readonly output: number;
};

/**
 * What an instance tells of upstreams, by process: slowness in percent, and the
 * samples that it counts for by now.
 */
export type SpeedNews = Readonly<
  Record<string, readonly [percent: number, weight: number]>
>;
