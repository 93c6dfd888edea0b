import type { MetadataPage, MetadataStore } from "@gooseberryline/core";

/**
 * Lists records that never change once they stand, after a key. A cheap read
 * that may be old is asked first; where it has none, the latest state.
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
