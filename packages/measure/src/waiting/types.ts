/** Types of the simulation of callers that compete for too little room. */

/** Where requests wait: at instances, in upstreams' queues, or nowhere. */
export const WAYS = {
  room: "room",
  upstreams: "upstreams",
  nowhere: "nowhere",
} as const;

export type Way = (typeof WAYS)[keyof typeof WAYS];

/** A caller's request, with what it has been told so far. */
export type Call = {
  readonly customer: string;
  readonly tokens: number;
  readonly runMs: number;
  readonly prompt: string;
  /** When this try was received. */
  readonly receivedMs: number;
  /** When its caller gives up. */
  readonly deadlineMs: number;
  readonly refusals: number;
};

/** How requests ended, of one kind. */
export type CallCounts = {
  calls: number;
  /** First event within the objective of the first try. */
  onTime: number;
  /** Refused once, and within the objective of the second try. */
  returnedOnTime: number;
  late: number;
  failed: number;
  /** Given up by their callers early. */
  left: number;
  refusals: number;
};

export type WaitingOptions = {
  readonly way: Way;
  readonly seed: number;
  readonly forMs: number;
  readonly edges: number;
  readonly upstreams: number;
  readonly lullRate: number;
  readonly burstRate: number;
  /** Items per second and upstream. */
  readonly itemRate: number;
  /** How many times its usual the hot customer sends, from `HOT_FROM_MS` on. */
  readonly hotFactor: number;
  readonly onTime: (nowMs: number) => void;
};

/** Counts by customer and by size; upstreams' sends to full ones. */
export type WaitingCounts = {
  readonly all: CallCounts;
  readonly customers: ReadonlyMap<string, CallCounts>;
  readonly large: CallCounts;
  readonly crowded: number;
  readonly attempts: number;
};
