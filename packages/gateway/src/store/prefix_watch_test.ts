import { createMetadata } from "@gooseberryline/fakes";
import { expect, test } from "vitest";
import { SILENT_LOG } from "../testing/silent_log.ts";
import { waitMs } from "../wait_ms.ts";
import { WATCH_TIMING } from "./constants.ts";
import { PrefixWatch } from "./prefix_watch.ts";

async function startWatch({ silentWatches = 0, rank = 0, watchers = 1 } = {}) {
  const metadata = createMetadata();
  metadata.setFaults({ silentWatches });
  const known = new Map<string, string>();
  metadata.put("a/1", "one");
  const watch = new PrefixWatch({
    store: metadata.store,
    prefix: "a/",
    log: SILENT_LOG,
    getTurn: () => ({ rank, count: watchers }),
    onEvent: (event) => {
      if (event.kind === "set") {
        known.set(event.item.key, event.item.value.toString());
      } else {
        known.delete(event.key);
      }
    },
  });
  watch.start();
  await watch.loaded;
  const settle = async (check: () => boolean): Promise<void> => {
    if (!check()) {
      await waitMs(10);
      await settle(check);
    }
  };
  return { metadata, known, watch, settle };
}

test("records are read whole, then followed", async () => {
  const { metadata, known, watch, settle } = await startWatch();
  expect(known.get("a/1")).toBe("one");
  metadata.put("a/2", "two");
  metadata.put("b/1", "other");
  metadata.remove("a/1");
  await settle(() => known.has("a/2") && !known.has("a/1"));
  expect([...known]).toEqual([["a/2", "two"]]);
  watch.stop();
});

test("what changed in a lost history is told by a fresh read", async () => {
  const { metadata, known, watch, settle } = await startWatch();
  metadata.setFaults({ isDeaf: true });
  metadata.put("a/2", "two");
  metadata.remove("a/1");
  metadata.compact();
  metadata.setFaults({ isDeaf: false });
  await settle(() => known.has("a/2") && !known.has("a/1"));
  watch.stop();
});

test("while the store is away the last known records stand", async () => {
  const { metadata, known, watch, settle } = await startWatch();
  metadata.setFaults({ isDown: true });
  await waitMs(150);
  expect(known.get("a/1")).toBe("one");
  metadata.setFaults({ isDown: false });
  metadata.put("a/1", "new");
  await settle(() => known.get("a/1") === "new");
  watch.stop();
});

test("a silent watch is opened anew once a peer has seen more", async () => {
  const { metadata, known, watch, settle } = await startWatch({
    silentWatches: 1,
    watchers: 240,
  });
  const startedMs = performance.now();
  metadata.put("a/2", "two");
  const page = await metadata.store.listPage("a/");
  watch.noteElsewhere(page.kind === "page" ? page.storeRevision : 0);
  await settle(() => known.get("a/2") === "two");
  // By itself the watch would have waited this long.
  expect(performance.now() - startedMs).toBeLessThan(WATCH_TIMING.MAX_WAIT_MS);
  expect(metadata.calls.watch).toBeGreaterThan(1);
  watch.stop();
});

test("peers are told of a record that went in a lost history", async () => {
  const { metadata, known, watch, settle } = await startWatch();
  const before = watch.seen;
  metadata.setFaults({ isDeaf: true });
  metadata.remove("a/1");
  metadata.compact();
  metadata.setFaults({ isDeaf: false });
  await settle(() => !known.has("a/1"));
  expect(watch.seen).toBeGreaterThan(before);
  watch.stop();
});

// Seen on ipacp scale-1: a watch that ended while it was kept from changes
// named a later revision, and the next one went on from there.
test("a change that an empty watch has passed over is still told", async () => {
  const { metadata, known, watch, settle } = await startWatch();
  metadata.setFaults({ isDeaf: true });
  metadata.put("a/2", "two");
  const before = metadata.calls.watch ?? 0;
  await settle(() => (metadata.calls.watch ?? 0) > before);
  metadata.setFaults({ isDeaf: false });
  await settle(() => known.get("a/2") === "two");
  watch.stop();
});

// Seen on penwhistle-post scale-1: all watches were cut, began again just
// before the history went, and were told so at the end of their waits.
test("a history that goes after a cut shows soon", async () => {
  const { metadata, known, watch, settle } = await startWatch({
    watchers: 240,
  });
  const countWatches = (): number => metadata.calls.watch ?? 0;
  const first = countWatches();
  metadata.setFaults({ isDown: true, isDeaf: true });
  await settle(() => countWatches() > first);
  metadata.setFaults({ isDown: false });
  const failed = countWatches();
  await settle(() => countWatches() > failed);
  metadata.put("a/2", "two");
  metadata.compact();
  metadata.setFaults({ isDeaf: false });
  const startedMs = performance.now();
  await settle(() => known.has("a/2"));
  expect(performance.now() - startedMs).toBeLessThan(
    WATCH_TIMING.RECOVERY_WAIT_MS * 3,
  );
  watch.stop();
});

test("a change that the store kept back is told by the next watch", async () => {
  const { metadata, known, watch, settle } = await startWatch();
  metadata.setFaults({ keptBack: 1 });
  metadata.put("a/2", "two");
  metadata.put("a/3", "three");
  await settle(() => known.has("a/2"));
  expect(known.has("a/3")).toBe(false);
  metadata.setFaults({ keptBack: 0 });
  await settle(() => known.has("a/3"));
  watch.stop();
});
