import type { Table } from "./types.ts";

/** Returns the table with `value` under `id`; the given table is unchanged. */
export function setEntry<Value>(
  table: Table<Value>,
  id: string,
  value: Value,
): Table<Value> {
  return { ...table, [id]: value };
}
