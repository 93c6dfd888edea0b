/** Number of shards in a sharded table; must be a power of two. */
export const SHARD_COUNT = 128;
