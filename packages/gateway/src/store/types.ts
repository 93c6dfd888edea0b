/** Types of watches on the metadata store. */

/** Rank of an instance among `count` watchers, from 0. */
export type WatchRank = { readonly rank: number; readonly count: number };
