/** State charts defined in `packages/core/charts/*.json`. */

/** One state of a chart file. */
export type ChartNode = {
  readonly type?: string;
  readonly on?: Readonly<Record<string, string>>;
};

/** Content of a chart file, in the subset of the xstate format used here. */
export type ChartFile = {
  readonly id: string;
  readonly initial: string;
  readonly states: Readonly<Record<string, ChartNode>>;
};

/** A chart prepared for evaluation. */
export type Chart = {
  readonly id: string;
  readonly initial: string;
  readonly states: readonly string[];
  readonly events: readonly string[];
  readonly isFinal: (state: string) => boolean;
  /** Returns the state after `event`; undefined if there is no transition. */
  readonly next: (state: string, event: string) => string | undefined;
};
