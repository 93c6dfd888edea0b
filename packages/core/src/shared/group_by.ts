/** Groups values by a key; the order within a group is kept. */
export function groupBy<Value, Key>(
  values: readonly Value[],
  keyOf: (value: Value) => Key,
): ReadonlyMap<Key, readonly Value[]> {
  return values.reduce((groups, value) => {
    const key = keyOf(value);
    const group = groups.get(key);
    if (group === undefined) {
      groups.set(key, [value]);
    } else {
      group.push(value);
    }
    return groups;
  }, new Map<Key, Value[]>());
}
