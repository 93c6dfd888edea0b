import type { Platform } from "@gooseberryline/protocol";

/**
 * Number of platform calls since start, by kind; a watch counts as one call.
 */
export type PlatformCounts = Record<string, number>;

/** Wraps `platform` to count each call, including failed ones. */
export function countCalls(
  platform: Platform,
  counts: PlatformCounts,
): Platform {
  const recordCall = (kind: string): void => {
    counts[kind] = (counts[kind] ?? 0) + 1;
  };
  return {
    get: (key) => {
      recordCall("get");
      return platform.get(key);
    },
    list: (prefix) => {
      recordCall("list");
      return platform.list(prefix);
    },
    cas: (request) => {
      recordCall("cas");
      return platform.cas(request);
    },
    watch: (prefix, revision, waitMs) => {
      recordCall("watch");
      return platform.watch(prefix, revision, waitMs);
    },
    grantLease: (ttlMs) => {
      recordCall("grant-lease");
      return platform.grantLease(ttlMs);
    },
    renewLease: (leaseId) => {
      recordCall("keep-lease");
      return platform.renewLease(leaseId);
    },
    listInstances: () => {
      recordCall("list-instances");
      return platform.listInstances();
    },
  };
}
