import { setEntry } from "../shared/set_entry.ts";
import { locateShard } from "./locate_shard.ts";
import type { ShardedTable } from "./types.ts";

/** Returns the table with the entry for `id` set to `value`. */
export function setSharded<Value>(
  table: ShardedTable<Value>,
  id: string,
  value: Value,
): ShardedTable<Value> {
  const index = locateShard(id);
  const shard = table.shards[index] ?? {};
  return {
    count: table.count + (id in shard ? 0 : 1),
    shards: table.shards.with(index, setEntry(shard, id, value)),
  };
}
