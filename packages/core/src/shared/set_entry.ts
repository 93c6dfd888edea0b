import type { Table } from "./types.ts";

/** Returns a copy of the table with the entry for `id` set to `value`. */
export function setEntry<Value>(
  table: Table<Value>,
  id: string,
  value: Value,
): Table<Value> {
  return { ...table, [id]: value };
}
