/** A table for many short-lived entries, such as those of requests. */
import type { Table } from "../shared/types.ts";

/**
 * Like `Table`, but split into shards so that a change copies few entries. It
 * is plain data and can be serialized as JSON.
 */
export type ShardedTable<Value> = {
  readonly count: number;
  readonly shards: readonly Table<Value>[];
};
