/** Types of the daemon's metrics; their names are listed in docs/operators. */

/**
 * Tags of a metric. Each must have low cardinality and never contain a request
 * id.
 */
export type MetricTags = Readonly<Record<string, string>>;

/**
 * Records measurements and sends them to the receiver named in the settings, if
 * any.
 */
export type Metrics = {
  readonly count: (name: string, tags?: MetricTags, by?: number) => void;
  /** Records a duration in milliseconds. */
  readonly time: (name: string, valueMs: number, tags?: MetricTags) => void;
  readonly gauge: (name: string, value: number, tags?: MetricTags) => void;
  readonly close: () => void;
};
