import type { ShardedTable } from "./types.ts";

/** Lists all values, in unspecified order. */
export function listSharded<Value>(
  table: ShardedTable<Value>,
): readonly Value[] {
  return table.count === 0
    ? []
    : table.shards.flatMap((shard) => Object.values(shard));
}
