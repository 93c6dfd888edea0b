import {
  batchKeys,
  type MetadataEvent,
  type MetadataStore,
} from "@gooseberryline/core";

/**
 * Reads the present state of a job's claim as the change that led to it; returns
 * undefined if the read fails.
 */
export async function readClaim(
  store: MetadataStore,
  jobId: string,
): Promise<MetadataEvent | undefined> {
  const key = batchKeys.claim(jobId);
  const read = await store.readKey(key);
  if (read.kind === "failed") {
    return undefined;
  }
  const { item, storeRevision: revision } = read;
  return item === undefined
    ? { kind: "removed", key, revision }
    : { kind: "set", item };
}
