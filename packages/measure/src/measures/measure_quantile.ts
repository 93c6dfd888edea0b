/** Measures a quantile of values by the nearest rank; 0 for none. */
export function measureQuantile(
  values: readonly number[],
  quantile: number,
): number {
  const sorted = values.toSorted((a, b) => a - b);
  const at = Math.min(sorted.length - 1, Math.floor(sorted.length * quantile));
  return sorted[at] ?? 0;
}
