/** Types of the load generator that measures the overhead of stream relays. */

/** Parameters of one load run. */
export type LoadOptions = {
  /** Base URL of the server under load, e.g. `http://127.0.0.1:8080`. */
  readonly targetUrl: string;
  /** Number of concurrent streams. */
  readonly streams: number;
  /** Token interval; if undefined, the arrival of a token triggers the next. */
  readonly tokenMs: number | undefined;
  /** Rate of additional one-token requests. */
  readonly requestsPerSecond: number;
  readonly durationMs: number;
  /** One-token requests sent first to complete the ramp of the upstreams. */
  readonly rampRequests?: number;
  readonly seed: number;
};

export type LoadMessage =
  | { readonly kind: "run"; readonly options: LoadOptions }
  | { readonly kind: "stop" };

export type LoadReport =
  | { readonly kind: "ready"; readonly engineUrls: readonly string[] }
  /** All streams are open and the measurement has started. */
  | { readonly kind: "begun" }
  | { readonly kind: "ended"; readonly result: LoadResult }
  | { readonly kind: "failed"; readonly message: string };

export type LoadResult = {
  readonly sent: number;
  readonly delivered: number;
  readonly elapsedMs: number;
  /** Latency from the engine's write to the caller's read, microseconds. */
  readonly tokenUs: Quantiles;
  /** Time from the caller's request to its first token, microseconds. */
  readonly firstTokenUs: Quantiles;
  /** Event loop utilization of the load thread (0 to 1). */
  readonly loadBusy: number;
};

export type Quantiles = {
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
};
