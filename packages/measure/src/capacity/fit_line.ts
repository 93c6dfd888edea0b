import type { Point } from "./types.ts";

/** Result of a linear least-squares fit. */
export type Line = {
  readonly slope: number;
  readonly intercept: number;
  /** Coefficient of determination (R²); 1 if all y values are equal. */
  readonly fit: number;
};

/** Fits a line to the points by ordinary least squares. */
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
