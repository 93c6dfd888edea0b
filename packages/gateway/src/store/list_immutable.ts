import type { MetadataPage, MetadataStore } from "@gooseberryline/core";

/**
 * Lists immutable records after a key. Tries a cheap, possibly stale read first
 * and falls back to the latest state where that returns no records.
 */
export async function listImmutable(
  store: MetadataStore,
  prefix: string,
  after: string | undefined,
): Promise<MetadataPage> {
  const page = await store.listPage(prefix, after, { mayBeStale: true });
  const isEmpty = page.kind === "page" && page.items.length === 0;
  return isEmpty ? store.listPage(prefix, after) : page;
}
