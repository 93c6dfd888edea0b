/** Picks the value at an index modulo the length of a non-empty list. */
export function pickWrapped<Value>(
  values: readonly Value[],
  index: number,
): Value {
  return values[index % values.length] as Value;
}
