/** What the daemon counts and times; names are in docs/operators. */

/** Tags of a metric; few values each, never a request's own id. */
export type MetricTags = Readonly<Record<string, string>>;

/** Takes measurements; sends them on where the settings name a receiver. */
export type Metrics = {
  readonly count: (name: string, tags?: MetricTags, by?: number) => void;
  /** A duration, milliseconds. */
  readonly time: (name: string, valueMs: number, tags?: MetricTags) => void;
  readonly gauge: (name: string, value: number, tags?: MetricTags) => void;
  readonly close: () => void;
};
