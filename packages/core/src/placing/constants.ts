/** Limits and weights for choosing an upstream. */
export const PLACING = {
  /** Load by which a choice by affinity may exceed the minimum, in requests. */
  AFFINITY_SLACK: 2,
  /** Fraction of the time left to the objective that a queue wait may take. */
  MAX_QUEUE_WAIT_SHARE: 0.5,
  /** Time in which a batch item yields its slot to a request, in ms. */
  YIELD_MS: 20,
  /** Requests added to the load of a cold upstream (slow start). */
  COLD_LOAD_PENALTY: 3,
  /** Most slots that an upstream's speed counts for with an item. */
  MAX_ITEM_BIAS: 1,
} as const;
