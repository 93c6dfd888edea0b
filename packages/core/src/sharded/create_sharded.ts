import { SHARD_COUNT } from "./constants.ts";
import type { ShardedTable } from "./types.ts";

/** Creates an empty sharded table. */
export function createSharded<Value>(): ShardedTable<Value> {
  return { count: 0, shards: Array.from({ length: SHARD_COUNT }, () => ({})) };
}
