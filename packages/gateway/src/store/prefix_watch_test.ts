import { createMetadata } from "@gooseberryline/fakes";
import { expect, test } from "vitest";
import { SILENT_LOG } from "../testing/silent_log.ts";
import { waitMs } from "../wait_ms.ts";
import { WATCH_TIMING } from "./constants.ts";
import { PrefixWatch } from "./prefix_watch.ts";

async function startWatch({
  silentWatches = 0,
  rank = 0,
  watchers = 1,
  minIntervalMs = 0,
  failingKeys = [] as readonly string[],
} = {}) {
  const metadata = createMetadata();
  metadata.setFaults({ silentWatches });
  const records = new Map<string, string>();
  metadata.writeRecord("a/1", "one");
  const detours = { count: 0 };
  const watch = new PrefixWatch({
    store: metadata.store,
    detour: {
      watchPrefix: (...args) => {
        detours.count += 1;
        return metadata.store.watchPrefix(...args);
      },
    },
    prefix: "a/",
    log: SILENT_LOG,
    getWatchRank: () => ({ rank, count: watchers }),
    minIntervalMs,
    onEvent: (event) => {
      if (event.kind === "set" && failingKeys.includes(event.item.key)) {
        throw new Error("this record can't be handled");
      }
      if (event.kind === "set") {
        records.set(event.item.key, event.item.value.toString());
      } else {
        records.delete(event.key);
      }
    },
  });
  watch.start();
  await watch.loaded;
  const waitUntil = async (check: () => boolean): Promise<void> => {
    if (!check()) {
      await waitMs(10);
      await waitUntil(check);
    }
  };
  return { metadata, records, watch, detours, waitUntil };
}

test("all records are listed, then watched", async () => {
  const { metadata, records, watch, waitUntil } = await startWatch();
  expect(records.get("a/1")).toBe("one");
  metadata.writeRecord("a/2", "two");
  metadata.writeRecord("b/1", "other");
  metadata.remove("a/1");
  await waitUntil(() => records.has("a/2") && !records.has("a/1"));
  expect([...records]).toEqual([["a/2", "two"]]);
  watch.stop();
});

test("changes in a compacted history are reported by a new listing", async () => {
  const { metadata, records, watch, waitUntil } = await startWatch();
  metadata.setFaults({ isWatchSilent: true });
  metadata.writeRecord("a/2", "two");
  metadata.remove("a/1");
  metadata.compact();
  metadata.setFaults({ isWatchSilent: false });
  await waitUntil(() => records.has("a/2") && !records.has("a/1"));
  watch.stop();
});

test("the last known records stay valid while the store is unreachable", async () => {
  const { metadata, records, watch, waitUntil } = await startWatch();
  metadata.setFaults({ isDown: true });
  await waitMs(150);
  expect(records.get("a/1")).toBe("one");
  metadata.setFaults({ isDown: false });
  metadata.writeRecord("a/1", "new");
  await waitUntil(() => records.get("a/1") === "new");
  watch.stop();
});

test("a silent watch is restarted once a peer has seen a later revision", async () => {
  const { metadata, records, watch, waitUntil } = await startWatch({
    silentWatches: 1,
    watchers: 240,
  });
  const startedMs = performance.now();
  metadata.writeRecord("a/2", "two");
  const page = await metadata.store.listPage("a/");
  watch.handlePeerRevision(page.kind === "page" ? page.storeRevision : 0);
  await waitUntil(() => records.get("a/2") === "two");
  // Without the peer's revision the watch would have waited this long.
  expect(performance.now() - startedMs).toBeLessThan(WATCH_TIMING.MAX_WAIT_MS);
  expect(metadata.calls.watch).toBeGreaterThan(1);
  watch.stop();
});

test("peers are told of a record removed in a compacted history", async () => {
  const { metadata, records, watch, waitUntil } = await startWatch();
  const before = watch.seen;
  metadata.setFaults({ isWatchSilent: true });
  metadata.remove("a/1");
  metadata.compact();
  metadata.setFaults({ isWatchSilent: false });
  await waitUntil(() => !records.has("a/1"));
  expect(watch.seen).toBeGreaterThan(before);
  watch.stop();
});

// Guards against lost changes: a watch that received no events returned a later
// store revision, and the next watch started from that one.
test("a change that an empty watch has skipped is still reported", async () => {
  const { metadata, records, watch, waitUntil } = await startWatch();
  metadata.setFaults({ isWatchSilent: true });
  metadata.writeRecord("a/2", "two");
  const before = metadata.calls.watch ?? 0;
  await waitUntil(() => (metadata.calls.watch ?? 0) > before);
  metadata.setFaults({ isWatchSilent: false });
  await waitUntil(() => records.get("a/2") === "two");
  watch.stop();
});

// Guards against late recovery: watches that restarted just before the history
// was compacted learned of it only at the end of their waits.
test("a compaction after a lost connection is noticed soon", async () => {
  const { metadata, records, watch, waitUntil } = await startWatch({
    watchers: 240,
  });
  const countWatches = (): number => metadata.calls.watch ?? 0;
  const first = countWatches();
  metadata.setFaults({ isDown: true, isWatchSilent: true });
  await waitUntil(() => countWatches() > first);
  metadata.setFaults({ isDown: false });
  const failed = countWatches();
  await waitUntil(() => countWatches() > failed);
  metadata.writeRecord("a/2", "two");
  metadata.compact();
  metadata.setFaults({ isWatchSilent: false });
  const startedMs = performance.now();
  await waitUntil(() => records.has("a/2"));
  expect(performance.now() - startedMs).toBeLessThan(
    WATCH_TIMING.RECOVERY_WAIT_MS * 3,
  );
  watch.stop();
});

test("a change that the store delayed is reported by the next watch", async () => {
  const { metadata, records, watch, waitUntil } = await startWatch();
  metadata.setFaults({ withheldChanges: 1 });
  metadata.writeRecord("a/2", "two");
  metadata.writeRecord("a/3", "three");
  await waitUntil(() => records.has("a/2"));
  expect(records.has("a/3")).toBe(false);
  metadata.setFaults({ withheldChanges: 0 });
  await waitUntil(() => records.has("a/3"));
  watch.stop();
});

test("changes in quick succession cost one call for each interval", async () => {
  const minIntervalMs = 200;
  const { metadata, records, watch, waitUntil } = await startWatch({
    minIntervalMs,
    watchers: 10,
    rank: 9,
  });
  await waitMs(10);
  const callsBefore = metadata.calls.watch ?? 0;
  const startedMs = performance.now();
  const write = async (index: number): Promise<void> => {
    if (index < 20) {
      metadata.writeRecord(`a/x${index}`, "x");
      await waitMs(10);
      await write(index + 1);
    }
  };
  await write(0);
  await waitUntil(() => records.size === 21);
  const intervals = (performance.now() - startedMs) / minIntervalMs;
  // One begins with the first change, and one may end by itself.
  expect((metadata.calls.watch ?? 0) - callsBefore).toBeLessThanOrEqual(
    intervals + 2,
  );
  watch.stop();
});

// Guards against calls without end after a write that changed no record.
test("a peer's revision without a change here is not asked for again", async () => {
  const { metadata, watch, detours } = await startWatch({ watchers: 240 });
  metadata.writeRecord("b/1", "elsewhere");
  const page = await metadata.store.listPage("b/");
  const revision = page.kind === "page" ? page.storeRevision : 0;
  const countAfter = async (rounds: number): Promise<number> => {
    if (rounds > 0) {
      watch.handlePeerRevision(revision);
      await waitMs(100);
      return countAfter(rounds - 1);
    }
    return detours.count;
  };
  const asked = await countAfter(10);
  expect(asked).toBeGreaterThan(0);
  expect(await countAfter(10)).toBe(asked);
  watch.stop();
});

// Guards against a second call for each change that comes while a watch pauses
// between two.
test("a peer's revision is not asked for while the watch pauses", async () => {
  const { metadata, records, watch, detours, waitUntil } = await startWatch({
    watchers: 240,
    minIntervalMs: 500,
  });
  metadata.writeRecord("a/2", "two");
  await waitUntil(() => records.has("a/2"));
  metadata.writeRecord("a/3", "three");
  const page = await metadata.store.listPage("a/");
  watch.handlePeerRevision(page.kind === "page" ? page.storeRevision : 0);
  await waitUntil(() => records.has("a/3"));
  expect(detours.count).toBe(0);
  watch.stop();
});

// Guards against a watch that ends for good with the handling of one record.
test.each([
  ["listed", ["a/1"]],
  ["watched", ["a/2"]],
])(
  "a record that can't be handled, %s, ends no watch",
  async (_, failingKeys) => {
    const { metadata, records, watch } = await startWatch({ failingKeys });
    metadata.writeRecord("a/2", "two");
    await waitMs(50);
    metadata.writeRecord("a/3", "three");
    await expect.poll(() => records.get("a/3")).toBe("three");
    watch.stop();
  },
);
