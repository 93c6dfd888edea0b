/** Returns a quantile by the nearest-rank method; 0 for an empty list. */
export function measureQuantile(
  values: readonly number[],
  quantile: number,
): number {
  const sorted = values.toSorted((a, b) => a - b);
  const index = Math.min(
    sorted.length - 1,
    Math.floor(sorted.length * quantile),
  );
  return sorted[index] ?? 0;
}
