/** Limits of passing requests on between instances. */
export const PASSING = {
  /** Path of passed-on requests on the listener for peers. */
  PATH: "/requests",
  /** Id of one passed-on request, which its answer repeats. */
  ID_HEADER: "gooseberryline-pass-id",
  /** Error of the peer itself, as encoded JSON. */
  ERROR_HEADER: "gooseberryline-pass-error",
  /** Version of the upstream that began the stream, encoded. */
  VERSION_HEADER: "gooseberryline-pass-version",
  /** What these headers begin with. */
  HEADER_PREFIX: "gooseberryline-pass-",
  /** Upstreams that one request does not reach before a peer is asked instead. */
  MIN_UNREACHED: 2,
  /** Peers to which one request is passed on, one after the other. */
  MAX_PASSES: 2,
  /** Passed-on requests that an instance has in flight at most. */
  MAX_TAKEN: 512,
  /** Longest message of a passed-on request, in bytes. */
  MAX_MESSAGE_BYTES: 16_777_216,
  /** Time for which a peer that was unable to serve is passed over, in ms. */
  AVOID_MS: 400,
  /**
   * Pause after which a stream leaves a peer, in ms: longer than the peer needs to
   * take the stream to another upstream.
   */
  STALL_TIMEOUT_MS: 1_000,
  /** Share of the remaining time for a peer's head, if another may follow. */
  HEAD_TIMEOUT_SHARE: 0.5,
  /** Mean interval between attempts to reach an upstream while cut off, in ms. */
  PROBE_INTERVAL_MS: 250,
} as const;
