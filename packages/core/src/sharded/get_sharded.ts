import { locateShard } from "./locate_shard.ts";
import type { ShardedTable } from "./types.ts";

/** Gets the value under `id`, if there is one. */
export function getSharded<Value>(
  table: ShardedTable<Value>,
  id: string,
): Value | undefined {
  return table.shards[locateShard(id)]?.[id];
}
