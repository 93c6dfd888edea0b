import type { MetadataCommit } from "@gooseberryline/core";

/** Returns how many of the store's entries a commit takes. */
export function countEntries({ expect, set, remove }: MetadataCommit): number {
  return expect.length + set.length + remove.length;
}
