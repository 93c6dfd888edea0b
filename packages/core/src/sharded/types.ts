/** A table for many entries that come and go with each request. */
import type { Table } from "../shared/types.ts";

/**
 * Like `Table`, split into small tables, so that a change copies few
 * entries. Plain data, so it prints as JSON.
 */
export type ShardedTable<Value> = {
  readonly count: number;
  readonly shards: readonly Table<Value>[];
};
