import type { Table } from "./types.ts";

/** Returns a copy of the table without the entry for `id`. */
export function dropEntry<Value>(
  table: Table<Value>,
  id: string,
): Table<Value> {
  const { [id]: _dropped, ...rest } = table;
  return rest;
}
