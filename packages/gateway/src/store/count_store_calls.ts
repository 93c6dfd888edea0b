import type { MetadataStore } from "@gooseberryline/core";

/** The kind of a call of the store, and of the records that it is about. */
export type StoreCall = { readonly call: string; readonly records: string };

/** Keys of jobs name the kind of record second. */
const DIVIDED = "jobs";

/** Wraps a store to report each call that is made. */
export function countStoreCalls(
  store: MetadataStore,
  onCall: (call: StoreCall) => void,
): MetadataStore {
  const report = (call: string, key: string): void =>
    onCall({ call, records: describeRecords(key) });
  return {
    readKey: (key, options) => {
      report(options?.mayBeStale === true ? "stale-read" : "read", key);
      return store.readKey(key, options);
    },
    listPage: (prefix, after, options) => {
      report(options?.mayBeStale === true ? "stale-list" : "list", prefix);
      return store.listPage(prefix, after, options);
    },
    watchPrefix: (prefix, after, waitMs, signal) => {
      report("watch", prefix);
      return store.watchPrefix(prefix, after, waitMs, signal);
    },
    commit: (commit) => {
      const key = commit.set[0]?.key ?? commit.remove[0] ?? "";
      report("commit", key);
      return store.commit(commit);
    },
    grantLease: (ttlMs) => {
      report("grant-lease", "");
      return store.grantLease(ttlMs);
    },
    renewLease: (leaseId) => {
      report("renew-lease", "");
      return store.renewLease(leaseId);
    },
    releaseLease: (leaseId) => {
      report("release-lease", "");
      return store.releaseLease(leaseId);
    },
  };
}

/** Returns the part of a key that names the kind of record, without ids. */
function describeRecords(key: string): string {
  const [first = "", second = ""] = key.split("/");
  return first === DIVIDED ? `${first}/${second}` : first;
}
