import type { Point } from "./types.ts";

/** A line by least squares. */
export type Line = {
  readonly slope: number;
  readonly intercept: number;
  /** Share of the variance that the line explains; 1 for a flat line. */
  readonly fit: number;
};

/** Fits a straight line through points by least squares. */
export function fitLine(points: readonly Point[]): Line {
  const count = points.length;
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / count;
  const meanY = points.reduce((sum, { y }) => sum + y, 0) / count;
  const spreadX = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
  const spreadY = points.reduce((sum, { y }) => sum + (y - meanY) ** 2, 0);
  const shared = points.reduce(
    (sum, { x, y }) => sum + (x - meanX) * (y - meanY),
    0,
  );
  const slope = spreadX === 0 ? 0 : shared / spreadX;
  const intercept = meanY - slope * meanX;
  const fit = spreadY === 0 ? 1 : shared ** 2 / (spreadX * spreadY);
  return { slope, intercept, fit };
}
