/** Whether an instance reaches upstreams, and who can take its requests. */

/** What fails on one kind of path, since something last went well on it. */
export type PathFailures = {
  /** When each upstream last failed, by id, on the monotonic clock, in ms. */
  readonly failures: ReadonlyMap<string, number>;
  /** When something last went well, in ms. */
  readonly soundMs: number;
  /** Whether several upstreams failed and nothing went well since. */
  readonly isLost: boolean;
};

/** What an instance's own attempts show of its paths to upstreams. */
export type UpstreamReach = {
  /** Answers, on any connection. */
  readonly answers: PathFailures;
  /** New connections; those that are open may live on without them. */
  readonly connections: PathFailures;
  /** Whether an upstream has answered since the instance was last cut off. */
  readonly isProven: boolean;
};

/** An attempt that ended without an answer. */
export type UnansweredAttempt = {
  readonly upstreamId: string;
  /** Whether it had a connection. */
  readonly isConnected: boolean;
  /** Number of upstreams in the directory. */
  readonly upstreamCount: number;
};

/** A peer as seen by an instance that is to pass a request on. */
export type PassingPeer = {
  readonly id: string;
  readonly dataCentre: string;
  /** Whether it says that it reaches upstreams and takes requests. */
  readonly isTaking: boolean;
  /** Its requests in flight, and those passed on to it from here. */
  readonly open: number;
  /** Until then it is passed over, as it was just unable to serve, in ms. */
  readonly avoidedUntilMs: number;
};

/** What the choice of a peer is based on. */
export type PassingChoice = {
  readonly peers: readonly PassingPeer[];
  /** Ids of the peers to which the request has been passed on. */
  readonly tried: ReadonlySet<string>;
  readonly ownDataCentre: string;
  readonly nowMs: number;
  /** Random number from 0 up to 1. */
  readonly random: number;
};
