import { setEntry } from "../shared/set_entry.ts";
import { locateShard } from "./locate_shard.ts";
import type { ShardedTable } from "./types.ts";

/** Returns the table with `value` under `id`. */
export function setSharded<Value>(
  table: ShardedTable<Value>,
  id: string,
  value: Value,
): ShardedTable<Value> {
  const at = locateShard(id);
  const shard = table.shards[at] ?? {};
  return {
    count: table.count + (id in shard ? 0 : 1),
    shards: table.shards.with(at, setEntry(shard, id, value)),
  };
}
