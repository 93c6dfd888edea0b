/** Types of the metrics summary of instances on the users' platform. */

/** A sample in the Prometheus text format. */
export type MetricSample = {
  readonly name: string;
  readonly labels: Readonly<Record<string, string>>;
  readonly value: number;
};

/** Metrics of an instance since its start. */
export type InstanceSummary = {
  readonly address: string;
  readonly answered: number;
  readonly refused: number;
  readonly brokenOff: number;
  readonly callerLeft: number;
  /**
   * Upper bound of the quantile of answered requests' durations, in ms; -1 if
   * there are none or it exceeds the largest bucket bound.
   */
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly open: number;
  readonly itemsRunning: number;
  readonly upstreams: number;
};

/** Summaries of the instances that answered, and why the others did not. */
export type FleetSummary = {
  readonly instances: readonly InstanceSummary[];
  readonly missing: readonly {
    readonly address: string;
    readonly reason: string;
  }[];
};
