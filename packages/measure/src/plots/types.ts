/** Types of line plots, rendered as standalone SVG. */

/** A named series of points, drawn as dots, as a line, or as both. */
export type PlotSeries = {
  readonly name: string;
  readonly points: readonly { readonly x: number; readonly y: number }[];
  readonly hasDots: boolean;
  readonly hasLine: boolean;
};

export type Plot = {
  readonly title: string;
  readonly xLabel: string;
  readonly yLabel: string;
  readonly series: readonly PlotSeries[];
  /** Dashed horizontal lines, e.g. for a limit. */
  readonly marks?: readonly { readonly name: string; readonly y: number }[];
};
