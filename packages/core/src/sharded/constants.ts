/** Tables of a sharded table; a power of two. */
export const SHARD_COUNT = 128;
