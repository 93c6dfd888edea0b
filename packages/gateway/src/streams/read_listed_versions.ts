import { getVersion, type MetadataStore } from "@gooseberryline/core";
import type { RecordDialect } from "../dialect/types.ts";
import type { ListedVersions } from "./types.ts";

/**
 * Reads from the store which versions of each service's upstreams are listed now;
 * returns undefined if it does not answer. Entries that can't be read name none.
 */
export async function readListedVersions(
  store: MetadataStore,
  dialect: Pick<RecordDialect, "upstreamPrefix" | "parseUpstream">,
  nowMs: number,
  after?: string,
): Promise<ListedVersions | undefined> {
  const page = await store.listPage(dialect.upstreamPrefix, after);
  if (page.kind === "failed") {
    return undefined;
  }
  const last = page.items.at(-1);
  const rest =
    page.hasMore && last !== undefined
      ? await readListedVersions(store, dialect, nowMs, last.key)
      : new Map<string, ReadonlySet<string>>();
  if (rest === undefined) {
    return undefined;
  }
  return page.items.reduce((versions, { key, value }) => {
    const entry = dialect.parseUpstream(key, value, nowMs);
    if (entry.kind === "unreadable") {
      return versions;
    }
    const { service } = entry.value;
    const known = versions.get(service) ?? [];
    return versions.set(service, new Set([...known, getVersion(entry.value)]));
  }, new Map(rest));
}
