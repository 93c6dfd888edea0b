/** Picks a value by an index that wraps around; the list is not empty. */
export function pickWrapped<Value>(
  values: readonly Value[],
  index: number,
): Value {
  return values[index % values.length] as Value;
}
