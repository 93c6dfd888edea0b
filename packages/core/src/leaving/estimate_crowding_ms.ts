type Crowd = {
  /** Requests at an upstream on average, and their variance. */
  readonly mean: number;
  readonly variance: number;
  readonly slots: number;
  readonly meanServiceMs: number;
};

/**
 * Estimates the wait of a request at an upstream whose number of requests is known
 * by its mean and variance, in ms: that for the requests beyond the slots (mean of
 * the positive part of a normal distribution).
 */
export function estimateCrowdingMs({
  mean,
  variance,
  slots,
  meanServiceMs,
}: Crowd): number {
  const deviation = Math.sqrt(Math.max(variance, Number.EPSILON));
  const beyond = mean + 1 - slots;
  const z = beyond / deviation;
  const queued = beyond * computeShareBelow(z) + deviation * computeDensity(z);
  return (Math.max(0, queued) * meanServiceMs) / Math.max(1, slots);
}

function computeDensity(z: number): number {
  return Math.exp((-z * z) / 2) / Math.sqrt(2 * Math.PI);
}

/** Logistic approximation of the normal distribution, within 0.01. */
function computeShareBelow(z: number): number {
  return 1 / (1 + Math.exp(-1.702 * z));
}
