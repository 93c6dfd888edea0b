/** Picks the value at an index modulo the list's length; the list must not be empty. */
export function pickWrapped<Value>(
  values: readonly Value[],
  index: number,
): Value {
  return values[index % values.length] as Value;
}
