import { dropEntry } from "../shared/drop_entry.ts";
import { locateShard } from "./locate_shard.ts";
import type { ShardedTable } from "./types.ts";

/** Returns the table without the entry for `id`. */
export function dropSharded<Value>(
  table: ShardedTable<Value>,
  id: string,
): ShardedTable<Value> {
  const index = locateShard(id);
  const shard = table.shards[index] ?? {};
  return id in shard
    ? {
        count: table.count - 1,
        shards: table.shards.with(index, dropEntry(shard, id)),
      }
    : table;
}
