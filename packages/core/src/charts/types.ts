/** State charts as they stand in `packages/core/charts/*.json`. */

/** One state of a chart file. */
export type ChartNode = {
  readonly type?: string;
  readonly on?: Readonly<Record<string, string>>;
};

/** The content of a chart file, in the subset of xstate that is used here. */
export type ChartFile = {
  readonly id: string;
  readonly initial: string;
  readonly states: Readonly<Record<string, ChartNode>>;
};

/** A chart made ready for interpretation. */
export type Chart = {
  readonly id: string;
  readonly initial: string;
  readonly states: readonly string[];
  readonly events: readonly string[];
  readonly isFinal: (state: string) => boolean;
  /** The state after `event`, or undefined where the chart has no arrow. */
  readonly next: (state: string, event: string) => string | undefined;
};
