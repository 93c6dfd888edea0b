/** Load that measures what relaying a stream costs. */

/** What a load thread is asked to do. */
export type LoadOrder = {
  /** Where the streams are asked for, e.g. `http://127.0.0.1:8080`. */
  readonly targetUrl: string;
  /** Streams that run at once. */
  readonly streams: number;
  /** Time between two tokens of a stream; absent: as fast as they pass. */
  readonly tokenMs: number | undefined;
  /** Further requests of one token, a second. */
  readonly requestsPerSecond: number;
  readonly durationMs: number;
  /** Requests of one token before all else, which ramp the upstreams up. */
  readonly rampRequests?: number;
  readonly seed: number;
};

export type LoadMessage =
  | { readonly kind: "run"; readonly order: LoadOrder }
  | { readonly kind: "stop" };

export type LoadReport =
  | { readonly kind: "ready"; readonly engineUrls: readonly string[] }
  /** All streams are open: what follows is measured. */
  | { readonly kind: "begun" }
  | { readonly kind: "ended"; readonly result: LoadResult }
  | { readonly kind: "failed"; readonly message: string };

export type LoadResult = {
  readonly sent: number;
  readonly delivered: number;
  readonly elapsedMs: number;
  /** From the engine's write to the caller's read, microseconds. */
  readonly tokenUs: Quantiles;
  /** From the caller's request to its first token, microseconds. */
  readonly firstTokenUs: Quantiles;
  /** Share of the time in which the load thread was busy. */
  readonly loadBusy: number;
};

export type Quantiles = {
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
};
