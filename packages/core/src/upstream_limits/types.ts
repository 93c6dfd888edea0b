/** Limits on requests that upstreams name in their answers. */

/** What an upstream last said of its limit. */
export type LimitWord = {
  /** Requests per second from all instances together; undefined: no limit. */
  readonly perSecond: number | undefined;
  /** When an instance read the answer, in ms. */
  readonly atMs: number;
};

/** What an instance tells its peers of an upstream's limit. */
export type LimitNews = {
  /** As in `LimitWord`; 0 means that the upstream no longer names a limit. */
  readonly perSecond: number;
  readonly ageMs: number;
  /** Requests that the sender has sent there. */
  readonly admitted: number;
  /** The sender's estimate of the upstream's token bucket. */
  readonly tokens: number;
};
