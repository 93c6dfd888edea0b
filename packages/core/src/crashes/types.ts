/**
 * Evidence of requests and prompt parts that crash upstreams, and what is blocked
 * by it.
 */

/** A request that was under way when its upstream crashed. */
export type CrashSuspect = {
  /** Its key, which its repeats share; empty if an earlier build told of it. */
  readonly request: string;
  /** Ids of the prompt parts that other requests may share. */
  readonly parts: readonly string[];
  /** Name of its customer; empty on a public route. */
  readonly customer: string;
  /** Whether the head of the answer had arrived, but no event. */
  readonly hasHead: boolean;
  /** Whether its answer had begun; told without parts and head, then. */
  readonly hasBegun: boolean;
  /** Time since it was sent to that upstream, in ms; earlier builds don't tell. */
  readonly ranMs?: number | undefined;
};

/**
 * A possible crash of one upstream process, as seen by the instances whose ids it
 * holds.
 */
export type Crash = {
  readonly upstreamId: string;
  /** Monotonic time of the observer, in ms. */
  readonly atMs: number;
  readonly suspects: readonly CrashSuspect[];
  /** Instances that found nothing listening there. */
  readonly downAt: readonly string[];
  /** Instances that reached the process later, so that only paths were cut. */
  readonly reachedAt: readonly string[];
  /**
   * When one last did, by the observer's clock, in ms: what breaks later is another
   * crash.
   */
  readonly reachedMs?: number | undefined;
  /** Whether the platform lists another process in its place. */
  readonly isReplaced: boolean;
};

/** What a possible crash was, as far as is known. */
export type CrashVerdict = "unknown" | "crashed" | "reached";

/** A crash as told to a peer, whose clock differs. */
export type CrashReport = Omit<Crash, "atMs" | "reachedMs" | "isReplaced"> & {
  readonly ageMs: number;
  /** Time since the process was reached, in ms. */
  readonly reachedAgeMs?: number | undefined;
};

/** How long a block holds; not set before it is in force. */
type BlockTerm = {
  /** Number of times that it was put in force, 1 or more. */
  readonly term?: number | undefined;
  /** Unix time of its end, in ms. */
  readonly expiresAtMs?: number | undefined;
};

/** A request that is refused, with its repeats. */
export type RequestBlock = BlockTerm & {
  readonly kind: "request";
  /** Its key. */
  readonly request: string;
  /** Ids of the upstreams that crashed. */
  readonly upstreams: readonly string[];
};

/**
 * Prompt parts that are refused where they occur together. More than one as long
 * as nothing tells which of them crashes upstreams.
 */
export type PromptBlock = BlockTerm & {
  readonly kind: "prompt";
  readonly parts: readonly string[];
  /**
   * Customers whose requests crashed upstreams. From the second one on, the
   * parts are refused for all.
   */
  readonly customers: readonly string[];
  /** Ids of the upstreams that crashed. */
  readonly upstreams: readonly string[];
};

export type CrashBlock = RequestBlock | PromptBlock;

/** A request that a block may hold for. */
export type BlockSubject = {
  readonly parts: readonly string[];
  readonly customer: string;
  /** Returns whether this is the request's key. */
  readonly hasKey: (request: string) => boolean;
};

/** What an instance tells its peers about crashes; left out if empty. */
export type CrashNews = {
  readonly crashes: readonly CrashReport[];
  /**
   * For parts and requests under suspicion: time since the sender last saw an
   * answer begin on the part, or the request answered whole, in ms.
   */
  readonly soundAges: Readonly<Record<string, number>>;
  /** Empty. Earlier builds need it; what they block has one witness only. */
  readonly blocks: readonly never[];
  readonly inForce: readonly CrashBlock[];
};

/** What blocks are decided by, beside the crashes. */
export type CrashContext = {
  /** Returns when a key was last sound, in ms of the crashes' clock. */
  readonly getLastSoundMs: (key: string) => number;
  /** Crashes that no key explains. */
  readonly strays: readonly Crash[];
  readonly nowMs: number;
};
