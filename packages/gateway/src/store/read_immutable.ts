import type { MetadataRead, MetadataStore } from "@gooseberryline/core";

/**
 * Reads an immutable record. A cheap, possibly stale read is sufficient if it
 * returns the record; otherwise the latest state is read.
 */
export async function readImmutable(
  store: MetadataStore,
  key: string,
): Promise<MetadataRead> {
  const read = await store.readKey(key, { mayBeStale: true });
  const isMissing = read.kind === "read" && read.item === undefined;
  return isMissing ? store.readKey(key) : read;
}
