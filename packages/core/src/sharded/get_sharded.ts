import { locateShard } from "./locate_shard.ts";
import type { ShardedTable } from "./types.ts";

/** Returns the value for `id`, or undefined if there is none. */
export function getSharded<Value>(
  table: ShardedTable<Value>,
  id: string,
): Value | undefined {
  return table.shards[locateShard(id)]?.[id];
}
