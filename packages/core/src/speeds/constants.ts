/** How speeds of upstreams are learnt, told and unlearnt. */
export const SPEEDS = {
  /** Age at which a sample counts half, in ms. */
  HALF_LIFE_MS: 1_500,
  /** Most samples that one instance's evidence of an upstream counts for. */
  MAX_WEIGHT: 16,
  /** Samples that what was known before counts for. */
  PRIOR_WEIGHT: 2,
  /** Logarithm of slowness below which an upstream counts as usual. */
  NOTICEABLE_LOG: 0.2,
  /** Step to which slowness is rounded. */
  STEP: 0.05,
  /** Largest logarithm of slowness that is believed, either way. */
  MAX_LOG: 1.4,
  /** Difference from the mean, as a logarithm, that may be a change. */
  SURPRISE_LOG: 0.6,
  /** The same, in standard deviations of the times of like requests. */
  SURPRISE_DEVIATIONS: 2.5,
  /** Standard deviation above which a sample counts for less. */
  USUAL_DEVIATION: 0.3,
  /** Consecutive surprises by which the samples before them are dropped. */
  MAX_SURPRISES: 2,
  /** Weight of a sample in the mean time of like requests. */
  LIKE_WEIGHT: 0.05,
  /** Like requests from which on one of them tells of its upstream. */
  MIN_LIKE_SAMPLES: 4,
  /** Time in which what is known in the long run follows the evidence, in ms. */
  BASE_FOLLOW_MS: 15_000,
  /** Time in which it fades without evidence, so that it is tried anew, in ms. */
  BASE_FADE_MS: 30_000,
  /** Upstreams named in one message. */
  MAX_TOLD: 32,
  /** Change of what is believed that is logged, as a logarithm. */
  TOLD_LOG: 0.3,
  /** Logarithm of slowness below which nothing is kept without evidence. */
  FORGOTTEN_LOG: 0.02,
  /** Evidence that counts for less is dropped, in samples. */
  MIN_WEIGHT: 0.1,
} as const;
