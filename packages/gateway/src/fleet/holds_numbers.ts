/** Returns whether a value is an object with a finite number under each key. */
export function holdsNumbers<Key extends string>(
  value: unknown,
  keys: readonly Key[],
): value is Readonly<Record<Key, number>> {
  return (
    typeof value === "object" &&
    value !== null &&
    keys.every((key) => Number.isFinite(Reflect.get(value, key)))
  );
}
