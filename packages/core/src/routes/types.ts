/** Configuration of routes, services, customers and limits. */

/** Response types of a route: one response, an event stream, or a job. */
export const CALL_SHAPES = {
  plain: "plain",
  stream: "stream",
  job: "job",
} as const;

export type CallShape = (typeof CALL_SHAPES)[keyof typeof CALL_SHAPES];

/** One service that a route forwards to; weights are relative. */
export type RouteTarget = {
  readonly service: string;
  readonly weight: number;
};

export type Route = {
  readonly name: string;
  readonly host: string;
  /** Path prefix; begins and ends with a slash. */
  readonly prefix: string;
  readonly shape: CallShape;
  /** Whether a request may be executed more than once. */
  readonly isIdempotent: boolean;
  /** Whether a broken stream may be resumed at another upstream. */
  readonly isResumable: boolean;
  /** Whether callers need no key. */
  readonly isPublic: boolean;
  readonly targets: readonly RouteTarget[];
  /** Maximum number of upstreams that may execute one request. */
  readonly maxAttempts: number;
  /** A request without a response is abandoned after this time, in ms. */
  readonly timeoutMs: number;
  /** Target time to the response, or to a stream's first event, in ms. */
  readonly objectiveMs: number;
  /** Lower values are more urgent. */
  readonly priority: number;
  /** Jobs: time after submission at which all results are due, in ms. */
  readonly dueMs: number;
  /** Jobs: time after submission from which an item may be abandoned, in ms. */
  readonly retentionMs: number;
  /**
   * Jobs: maximum tokens of one customer's unfinished items on the route, over
   * the whole fleet; 0 means no limit.
   */
  readonly maxBacklogTokens: number;
};

export type Service = {
  readonly name: string;
  /** Requests per second that a cold upstream can handle. */
  readonly coldRequestsPerSecond: number;
  readonly coldStartMs: number;
};

/** Limits on the size and duration of a caller's requests. */
export type CallLimits = {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
};

/** A customer's keys and fleet-wide rate; a rate of 0 means no limit. */
export type RouteCustomer = {
  readonly name: string;
  readonly keys: readonly string[];
  readonly ratePerSecond: number;
  readonly burst: number;
};

/** Who may call the routes that aren't public. */
export type CallerAccess =
  /** The configuration says nothing of customers: no key is asked for. */
  | { readonly kind: "open" }
  /** Only customers, by their keys; nobody while there is none. */
  | {
      readonly kind: "customers";
      readonly customers: readonly RouteCustomer[];
    };

/** A valid configuration; a higher revision replaces a lower one. */
export type ServingConfig = {
  readonly revision: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly limits: CallLimits;
  readonly access: CallerAccess;
};

/** A configuration indexed for lookups on the request path. */
export type RouteTable = {
  readonly config: ServingConfig;
  /** Routes by host, longest prefix first. */
  readonly routesByHost: ReadonlyMap<string, readonly Route[]>;
  readonly customersByKey: ReadonlyMap<string, RouteCustomer>;
  readonly customers: ReadonlyMap<string, RouteCustomer>;
  readonly services: ReadonlyMap<string, Service>;
};

/** Result of authentication: a customer, an anonymous or a rejected caller. */
export type Caller =
  | { readonly kind: "customer"; readonly customer: RouteCustomer }
  | { readonly kind: "anyone" }
  | { readonly kind: "unknown" };

/** What an instance knows of how current its route table is. */
export type TableFacts = {
  /** Whether the newest configuration that was seen here could be read. */
  readonly isReadable: boolean;
  /** Store revision up to which the operators' records are known here. */
  readonly knownRevision: number;
  /** Latest revision of these records that a peer has told of. */
  readonly peerRevision: number;
  /** Whether the store has shown the newest since the request arrived. */
  readonly isConfirmed: boolean;
  /**
   * Whether the same key or route was found missing before, by the store's answer
   * or by a configuration that dropped it.
   */
  readonly wasMissing: boolean;
  /** Number of other instances that may run. */
  readonly peers: number;
  /** Those heard of that reach the store and have seen no other records. */
  readonly agreeingPeers: number;
};
