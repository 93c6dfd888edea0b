/** Groups values by key, preserving their order within each group. */
export function groupBy<Value, Key>(
  values: readonly Value[],
  getKey: (value: Value) => Key,
): ReadonlyMap<Key, readonly Value[]> {
  return values.reduce((groups, value) => {
    const key = getKey(value);
    const group = groups.get(key);
    if (group === undefined) {
      groups.set(key, [value]);
    } else {
      group.push(value);
    }
    return groups;
  }, new Map<Key, Value[]>());
}
