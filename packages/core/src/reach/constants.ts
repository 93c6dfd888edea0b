/** Times and limits of the paths to upstreams. */
export const REACH = {
  /**
   * Upstreams that have to fail without an answer from any, so that one or two
   * that are silent or down don't count as a lost path.
   */
  MIN_UPSTREAMS: 3,
  /** The same in a directory with fewer upstreams. */
  MIN_UPSTREAMS_OF_FEW: 2,
  /** Time in which they have to fail, in ms. */
  WINDOW_MS: 1_000,
  /** An upstream that answered so recently shows that there are paths, in ms. */
  QUIET_MS: 100,
  /** Load by which a peer of another data centre has to be lower, in requests. */
  DISTANCE_LOAD: 4,
  /** Difference of load up to which peers are chosen at random, in requests. */
  LOAD_SLACK: 2,
} as const;
