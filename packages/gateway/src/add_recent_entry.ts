/** Sets an entry as the newest of a bounded map; evicts the oldest if full. */
export function addRecentEntry<Value>(
  entries: Map<string, Value>,
  key: string,
  value: Value,
  maxEntries: number,
): void {
  entries.delete(key);
  entries.set(key, value);
  const [oldest] = entries.keys();
  if (entries.size > maxEntries && oldest !== undefined) {
    entries.delete(oldest);
  }
}
