/**
 * How many instances watch the metadata store: a number in each data centre, and
 * more of them where there are few data centres, as all may be cut off at once.
 */
export const STORE_WATCHERS = {
  FLEET: { perDataCentre: 2, atLeast: 6 },
  /** Workers that fail to hear of a claim find it out when they write. */
  CLAIMS: { perDataCentre: 1, atLeast: 3 },
} as const;
