import {
  BATCHES,
  type MetadataCommit,
  type MetadataFailure,
  type MetadataStore,
  type ReadOptions,
} from "@gooseberryline/core";
import { MetadataState } from "./metadata_state.ts";
import type { FakeMetadata, MetadataFaults } from "./types.ts";

const WATCH_POLL_INTERVAL_MS = 5;
const PAGE_ITEMS = 500;
/** Largest value of a record, in bytes. */
const VALUE_BYTES = 1_048_576;

/** Creates an in-memory fake of the platform's metadata store. */
export function createMetadata(
  readNowMs: () => number = () => performance.now(),
): FakeMetadata {
  const state = new MetadataState();
  const calls: Record<string, number> = {};
  const late: MetadataCommit[] = [];
  const control = {
    faults: {
      isDown: false,
      isRefusing: false,
      lostCommits: 0,
      lateCommits: 0,
      isWatchSilent: false,
      silentWatches: 0,
      withheldChanges: 0,
      isReadStale: false,
      staleRevisions: 0,
      pageItems: PAGE_ITEMS,
    } as MetadataFaults,
  };
  const write = (
    set: readonly { key: string; value: Buffer }[],
    key?: string,
  ) =>
    state.commit({ expect: [], set, remove: key === undefined ? [] : [key] });
  const recordCall = (step: string): MetadataFailure | undefined => {
    calls[step] = (calls[step] ?? 0) + 1;
    state.expireLeases(readNowMs());
    const { isDown, isRefusing } = control.faults;
    return isDown || isRefusing ? fail(step, isRefusing) : undefined;
  };
  const getRevision = (options: ReadOptions | undefined): number => {
    const { staleRevisions } = control.faults;
    const isStale = options?.mayBeStale === true;
    return state.revision - (isStale ? staleRevisions : 0);
  };
  const isStaleRead = (options: ReadOptions | undefined): boolean =>
    options?.mayBeStale === true && control.faults.isReadStale;
  const store: MetadataStore = {
    readKey: async (key, options) =>
      recordCall(buildReadStep("read", options)) ?? {
        kind: "read",
        item: isStaleRead(options)
          ? undefined
          : state.read(key, getRevision(options)),
        storeRevision: state.revision,
      },
    listPage: async (prefix, after, options) =>
      recordCall(buildReadStep("list", options)) ?? {
        kind: "page",
        ...(isStaleRead(options)
          ? { items: [], hasMore: false }
          : state.listPage(
              prefix,
              after,
              control.faults.pageItems,
              getRevision(options),
            )),
        storeRevision: state.revision,
      },
    watchPrefix: async (prefix, after, waitMs, signal) => {
      const endMs = readNowMs() + waitMs;
      const failure = recordCall("watch");
      if (failure !== undefined) {
        return failure;
      }
      if (state.listChanges(prefix, after) === undefined) {
        return { kind: "compacted" };
      }
      const { silentWatches } = control.faults;
      const isSilent = silentWatches > 0;
      if (isSilent) {
        const remainingFaults = { silentWatches: silentWatches - 1 };
        control.faults = { ...control.faults, ...remainingFaults };
      }
      while (signal?.aborted !== true) {
        state.expireLeases(readNowMs());
        const { isDown } = control.faults;
        const isMuted = isSilent || control.faults.isWatchSilent;
        const changes = state.listChanges(prefix, after);
        const changeCount = changes?.length ?? 0;
        const events = isMuted
          ? []
          : (changes ?? []).slice(
              0,
              Math.max(0, changeCount - control.faults.withheldChanges),
            );
        const isExpired = readNowMs() >= endMs;
        if (isDown) {
          return fail("watch", false);
        }
        // As on the platform, a pending watch reports compaction only when it
        // times out.
        if (isExpired && !isMuted && changes === undefined) {
          return { kind: "compacted" };
        }
        if (events.length > 0 || isExpired) {
          const storeRevision = state.revision;
          return { kind: "changes", events, storeRevision };
        }
        await new Promise((resolve) =>
          setTimeout(resolve, WATCH_POLL_INTERVAL_MS),
        );
      }
      return fail("watch", false);
    },
    commit: async (commit) => {
      const failure = recordCall("commit");
      if (failure !== undefined) {
        return failure;
      }
      const { expect, set, remove } = commit;
      const entries = expect.length + set.length + remove.length;
      const isTooLarge = set.some(({ value }) => value.length > VALUE_BYTES);
      if (entries > BATCHES.MAX_COMMIT_ENTRIES || isTooLarge) {
        return fail("commit", true);
      }
      const { lateCommits } = control.faults;
      if (lateCommits > 0) {
        const faults = { ...control.faults, lateCommits: lateCommits - 1 };
        control.faults = faults;
        late.push(commit);
        return fail("commit", false);
      }
      const isLeased = set.every(
        ({ leaseId }) => leaseId === undefined || state.hasLease(leaseId),
      );
      if (!isLeased) {
        return { kind: "lease-gone" };
      }
      const items = state.commit(commit);
      if (items !== undefined) {
        return { kind: "conflict", items };
      }
      const { lostCommits } = control.faults;
      if (lostCommits > 0) {
        const faults = { ...control.faults, lostCommits: lostCommits - 1 };
        control.faults = faults;
        return fail("commit", false);
      }
      return { kind: "committed", revision: state.revision };
    },
    grantLease: async (ttlMs) =>
      recordCall("lease") ?? {
        kind: "lease",
        leaseId: state.grantLease(ttlMs, readNowMs()),
        ttlMs,
      },
    renewLease: async (leaseId) => {
      const failure = recordCall("keep");
      const ttlMs = state.renewLease(leaseId, readNowMs());
      return (
        failure ??
        (ttlMs === undefined
          ? { kind: "lease-gone" }
          : { kind: "lease", leaseId, ttlMs })
      );
    },
    releaseLease: async (leaseId) => {
      const failure = recordCall("end-lease");
      state.endLease(leaseId);
      return failure ?? { kind: "lease-gone" };
    },
  };
  return {
    store,
    calls,
    setFaults: (faults) => {
      control.faults = { ...control.faults, ...faults };
    },
    compact: () => state.compact(),
    writeRecord: (key, value) => {
      write([{ key, value: Buffer.from(value) }]);
    },
    remove: (key) => {
      write([], key);
    },
    applyLateCommits: () => {
      late.splice(0).forEach((commit) => {
        state.commit(commit);
      });
    },
  };
}

function buildReadStep(step: string, options: ReadOptions | undefined): string {
  return options?.mayBeStale === true ? `stale-${step}` : step;
}

function fail(step: string, isUndone: boolean): MetadataFailure {
  return { kind: "failed", isUndone, step, reason: "injected fault" };
}
