import type { Platform } from "@gooseberryline/protocol";

/** Calls of the platform since start, by kind; a watch counts as one. */
export type PlatformCounts = Record<string, number>;

/** Counts each call of `platform`, failed ones too. */
export function countCalls(
  platform: Platform,
  counts: PlatformCounts,
): Platform {
  const note = (kind: string): void => {
    counts[kind] = (counts[kind] ?? 0) + 1;
  };
  return {
    get: (key) => {
      note("get");
      return platform.get(key);
    },
    list: (prefix) => {
      note("list");
      return platform.list(prefix);
    },
    cas: (request) => {
      note("cas");
      return platform.cas(request);
    },
    watch: (prefix, revision, waitMs) => {
      note("watch");
      return platform.watch(prefix, revision, waitMs);
    },
    grantLease: (ttlMs) => {
      note("grant-lease");
      return platform.grantLease(ttlMs);
    },
    keepLease: (leaseId) => {
      note("keep-lease");
      return platform.keepLease(leaseId);
    },
    listInstances: () => {
      note("list-instances");
      return platform.listInstances();
    },
  };
}
