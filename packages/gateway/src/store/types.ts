/** Watches of the metadata store. */

/** Place of an instance among `count` watchers, from 0. */
export type WatchRank = { readonly rank: number; readonly count: number };
