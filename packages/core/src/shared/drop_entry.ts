import type { Table } from "./types.ts";

/** Returns the table without `id`; the given table is unchanged. */
export function dropEntry<Value>(
  table: Table<Value>,
  id: string,
): Table<Value> {
  const { [id]: _dropped, ...rest } = table;
  return rest;
}
