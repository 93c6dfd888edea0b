import type { MetadataRead, MetadataStore } from "@gooseberryline/core";

/**
 * Reads a record that never changes once it stands: a cheap read that may be
 * old is as good as any, and only where it has none the latest state is asked.
 */
export async function readImmutable(
  store: MetadataStore,
  key: string,
): Promise<MetadataRead> {
  const read = await store.readKey(key, { mayBeStale: true });
  const isMissing = read.kind === "read" && read.item === undefined;
  return isMissing ? store.readKey(key) : read;
}
