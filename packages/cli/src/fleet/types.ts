/** What instances on the users' platform say of themselves. */

/** One line of a metrics text. */
export type MetricSample = {
  readonly name: string;
  readonly labels: Readonly<Record<string, string>>;
  readonly value: number;
};

/** One instance, since its start. */
export type InstanceSummary = {
  readonly address: string;
  readonly answered: number;
  readonly refused: number;
  readonly brokenOff: number;
  readonly callerLeft: number;
  /** Time of answered requests, in ms: not above this; -1: none, or above all. */
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly open: number;
  readonly itemsRunning: number;
  readonly upstreams: number;
};

/** Instances that answered, and why the others did not. */
export type FleetSummary = {
  readonly instances: readonly InstanceSummary[];
  readonly missing: readonly {
    readonly address: string;
    readonly reason: string;
  }[];
};
