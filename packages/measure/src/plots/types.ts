/** Line plots as standalone SVG. */

/** A named series of points, drawn as dots, a line, or both. */
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
  /** Values of y marked by a dashed line, e.g. a limit. */
  readonly marks?: readonly { readonly name: string; readonly y: number }[];
};
