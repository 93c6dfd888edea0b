import { createSocket } from "node:dgram";
import { once } from "node:events";
import {
  batchKeys,
  ITEM_RESULTS,
  type LogEvent,
  type MetadataEvent,
  type MetadataStore,
} from "@gooseberryline/core";
import { createMetadata } from "@gooseberryline/fakes";
import { expect, test, vi } from "vitest";
import { memberRecord } from "../fleet/member_record.ts";
import { MembershipTask } from "../fleet/membership_task.ts";
import { PeerLink } from "../fleet/peer_link.ts";
import { OwnedJob } from "../jobs/owned_job.ts";
import { PrefixWatch } from "../store/prefix_watch.ts";
import { historyRecord } from "../streams/history_record.ts";
import { OriginWriter } from "../streams/origin_writer.ts";
import { VersionKeeper } from "../streams/version_keeper.ts";
import { createEntry } from "../testing/create_entry.ts";
import { createView } from "../testing/create_view.ts";
import { failStoreOnce } from "../testing/fail_store_once.ts";
import { SILENT_LOG } from "../testing/silent_log.ts";
import { startJob } from "../testing/start_job.ts";
import { startRunner } from "../testing/start_runner.ts";

const MEMBER = {
  id: "i2",
  incarnation: "1",
  address: "127.0.0.1",
  port: 1,
  relayPort: 1,
  dataCentre: "a",
  duty: "serve",
} as const;

function createLog() {
  const events: LogEvent[] = [];
  const error = (event: LogEvent): void => {
    events.push(event);
  };
  return { events, log: { ...SILENT_LOG, error } };
}

function startWatch(
  store: MetadataStore,
  onEvent: (event: MetadataEvent) => void,
) {
  const { events, log } = createLog();
  const getWatchRank = () => ({ rank: 0, count: 1 });
  const parts = { store, detour: store, prefix: "a/", log, getWatchRank };
  const watch = new PrefixWatch({ ...parts, onEvent });
  watch.start();
  return { watch, events };
}

// Guards against a watch that ended for good with one record's exception.
test("a watch goes on after a record whose handling throws", async () => {
  const metadata = createMetadata();
  const heard: string[] = [];
  metadata.writeRecord("a/1", "odd");
  const { watch, events } = startWatch(metadata.store, (event) => {
    const text = event.kind === "set" ? event.item.value.toString() : "";
    if (text === "odd") {
      throw new Error("a fault");
    }
    heard.push(text);
  });
  await watch.loaded;
  metadata.writeRecord("a/2", "odd");
  metadata.writeRecord("a/3", "sound");
  await vi.waitFor(() => expect(heard).toEqual(["sound"]));
  expect(events).toEqual(["step-failed", "step-failed"]);
  watch.stop();
});

test.each(["listPage", "watchPrefix"] as const)(
  "a watch goes on after an exception of %s",
  async (call) => {
    const metadata = createMetadata();
    const heard: string[] = [];
    const store = failStoreOnce(metadata.store, call);
    const { watch, events } = startWatch(store, (event) => {
      heard.push(event.kind);
    });
    await watch.loaded;
    metadata.writeRecord("a/1", "one");
    await vi.waitFor(() => expect(heard).toEqual(["set"]), 5_000);
    expect(events).toEqual(["step-failed"]);
    watch.stop();
  },
);

test.each(["grantLease", "commit"] as const)(
  "an instance registers after an exception of %s",
  async (call) => {
    const metadata = createMetadata();
    const { log } = createLog();
    const store = failStoreOnce(metadata.store, call);
    const task = new MembershipTask({ store, member: MEMBER, log });
    task.start();
    const key = memberRecord.buildKey(MEMBER.id);
    await vi.waitFor(
      async () =>
        expect(await metadata.store.readKey(key)).toMatchObject({
          item: { key },
        }),
      5_000,
    );
    await task.stop();
  },
);

// Guards against one peer's port, or one exception, that silenced an instance.
test("load messages go on after exceptions", async () => {
  const peer = createSocket("udp4").bind(0, "127.0.0.1");
  await once(peer, "listening");
  const { port } = peer.address();
  const heard: Buffer[] = [];
  peer.on("message", (bytes) => heard.push(bytes));
  const view = createView();
  view.members.set({ ...MEMBER, id: "i0", port: 0 });
  view.members.set({ ...MEMBER, port });
  const state = { failures: 0 };
  view.readResultCounts = () => {
    state.failures += 1;
    if (state.failures === 1) {
      throw new Error("a fault");
    }
    return {};
  };
  const { log } = createLog();
  const link = new PeerLink(view, log);
  await link.start();
  await vi.waitFor(() => expect(heard.length).toBeGreaterThan(2), 5_000);
  link.stop();
  peer.close();
});

test("a service's versions are written after an exception", async () => {
  const metadata = createMetadata();
  const view = createView();
  view.directory.set(createEntry({ version: "v1" }));
  const long = "s".repeat(10_000);
  view.directory.set(createEntry({ id: "u2", service: long }));
  const { log } = createLog();
  const keeper = new VersionKeeper({
    store: failStoreOnce(metadata.store, "commit"),
    directory: view.directory,
    log,
    isFirstStart: true,
    readUnixMs: () => Date.now(),
    onMixed: () => undefined,
  });
  keeper.start();
  const key = historyRecord.buildKey("s");
  await vi.waitFor(
    async () =>
      expect(await metadata.store.readKey(key)).toMatchObject({
        item: { key },
      }),
    5_000,
  );
  keeper.stop();
  const page = await metadata.store.listPage(historyRecord.buildKey(""));
  expect(page).toMatchObject({ items: [{ key }] });
});

test("what began streams is written after an exception", async () => {
  const metadata = createMetadata();
  const { log } = createLog();
  const writer = new OriginWriter({
    store: failStoreOnce(metadata.store, "commit"),
    log,
    readNowMs: () => performance.now(),
    countInstances: () => 1,
  });
  writer.add("streams/1", { service: "s", version: "v" });
  await vi.waitFor(
    async () =>
      expect(await metadata.store.readKey("streams/1")).toMatchObject({
        item: { key: "streams/1" },
      }),
    5_000,
  );
  await writer.stop();
});

test.each(["readKey", "listPage"] as const)(
  "a job is loaded after an exception of %s",
  async (call) => {
    const { runner, showClaims, listOwned } = await startRunner(
      ["j1"],
      1,
      0,
      (store) => failStoreOnce(store, call),
    );
    await showClaims();
    runner.start();
    await expect.poll(listOwned, { timeout: 5_000 }).toEqual(["j1"]);
    runner.stop();
  },
);

// Guards against results that an exception took with it, with all later ones.
test("results are listed after an exception of their write", async () => {
  const { metadata, own } = await startJob();
  const { owned } = await own("w1");
  const { log } = createLog();
  const again = new OwnedJob(owned.loaded, {
    store: failStoreOnce(metadata.store, "commit"),
    log,
    readNowMs: () => performance.now(),
    writerName: "w1",
    onLost: () => undefined,
  });
  const state = ITEM_RESULTS.completed;
  again.addResult(0, { id: "a", state, text: "a" });
  await vi.waitFor(() => expect(again.countListed()).toBe(1), 5_000);
  const key = batchKeys.result("j1", 0);
  expect(await metadata.store.readKey(key)).toMatchObject({ item: { key } });
});
