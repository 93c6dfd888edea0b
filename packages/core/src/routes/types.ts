/** What a configuration says of routes, services, customers and limits. */

/** How a route's answers come: whole, as events, or from jobs of items. */
export const CALL_SHAPES = {
  plain: "plain",
  stream: "stream",
  job: "job",
} as const;

export type CallShape = (typeof CALL_SHAPES)[keyof typeof CALL_SHAPES];

/** One of the services that a route may go to; weights are relative. */
export type RouteTarget = {
  readonly service: string;
  readonly weight: number;
};

export type Route = {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly shape: CallShape;
  /** Whether a request may run more than once. */
  readonly isIdempotent: boolean;
  /** Whether a broken stream may go on at another upstream. */
  readonly isResumable: boolean;
  /** Open to callers without a key. */
  readonly isPublic: boolean;
  readonly targets: readonly RouteTarget[];
  /** Upstreams that one request may run on. */
  readonly maxAttempts: number;
  /** A request still unanswered after this many ms is given up. */
  readonly timeoutMs: number;
  /** Time to the answer, or to a stream's first event, in ms. */
  readonly objectiveMs: number;
  /** Lower is more urgent. */
  readonly priority: number;
  /** Jobs: all results are due this many ms after submission. */
  readonly dueMs: number;
  /** Jobs: an item may be given up this many ms after submission. */
  readonly retentionMs: number;
};

export type Service = {
  readonly name: string;
  /** Requests a second that a cold upstream bears. */
  readonly coldPerSecond: number;
  readonly coldStartMs: number;
};

/** Bounds on what a caller may send, and on how long it may take. */
export type CallLimits = {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
};

/** A customer's keys and its rate over the whole fleet; 0 is no limit. */
export type RouteCustomer = {
  readonly name: string;
  readonly keys: readonly string[];
  readonly ratePerSecond: number;
  readonly burst: number;
};

/** One accepted configuration; a higher revision replaces a lower one. */
export type ServingConfig = {
  readonly revision: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly limits: CallLimits;
  readonly customers: readonly RouteCustomer[];
};

/** A configuration, indexed for look-ups on the request path. */
export type RouteTable = {
  readonly config: ServingConfig;
  /** Routes of each host, longest prefix first. */
  readonly routesByHost: ReadonlyMap<string, readonly Route[]>;
  readonly customersByKey: ReadonlyMap<string, RouteCustomer>;
  readonly customers: ReadonlyMap<string, RouteCustomer>;
  readonly services: ReadonlyMap<string, Service>;
};

/** Who calls: a customer, nobody in particular, or a stranger. */
export type Caller =
  | { readonly kind: "customer"; readonly customer: RouteCustomer }
  | { readonly kind: "anyone" }
  | { readonly kind: "unknown" };
