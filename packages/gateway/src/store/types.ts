/** Types of watches on the metadata store. */
import type { MetadataChanges, MetadataItem } from "@gooseberryline/core";

/** Rank of an instance among `count` watchers, from 0. */
export type WatchRank = { readonly rank: number; readonly count: number };

/**
 * What a peer answers to who follows a prefix there: as the store to a watch, or all
 * records as of a revision where it can't tell the changes since the one asked for.
 */
export type FollowAnswer =
  | MetadataChanges
  | {
      readonly kind: "listing";
      readonly items: readonly MetadataItem[];
      readonly revision: number;
    };
