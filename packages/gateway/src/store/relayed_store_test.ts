import type { MetadataFailure, MetadataStore } from "@gooseberryline/core";
import { createMetadata } from "@gooseberryline/fakes";
import { afterEach, expect, test } from "vitest";
import { findPort } from "../testing/find_port.ts";
import { SILENT_LOG } from "../testing/silent_log.ts";
import { RelayClient } from "./relay_client.ts";
import { RelayListener } from "./relay_listener.ts";
import { RelayedStore } from "./relayed_store.ts";

let listener: RelayListener | undefined;

afterEach(() => {
  listener?.stop();
});

/** Creates a store whose calls all fail, and counts them. */
function createFailingStore(isUndone: boolean) {
  const counts = { calls: 0 };
  const fail = async (): Promise<MetadataFailure> => {
    counts.calls += 1;
    return { kind: "failed", isUndone, step: "test", reason: "cut off" };
  };
  const store: MetadataStore = {
    readKey: fail,
    listPage: fail,
    watchPrefix: fail,
    commit: fail,
    grantLease: fail,
    renewLease: fail,
    releaseLease: fail,
  };
  return { store, counts };
}

async function startRelay(isUndone: boolean) {
  const metadata = createMetadata();
  const relayPort = await findPort();
  listener = new RelayListener(metadata.store);
  await listener.start({ host: "127.0.0.1", port: relayPort });
  const failing = createFailingStore(isUndone);
  const peer = {
    id: "p1",
    incarnation: "1",
    address: "127.0.0.1",
    port: 0,
    relayPort,
    dataCentre: "a",
    duty: "serve",
  } as const;
  const relayed = new RelayedStore({
    direct: failing.store,
    choosePeer: () => peer,
    chooseInformedPeer: () => peer,
    relay: new RelayClient(),
    log: SILENT_LOG,
    readNowMs: () => performance.now(),
    onDirectContact: () => undefined,
  });
  return { metadata, failing, store: relayed.build() };
}

const commit = {
  expect: [],
  set: [{ key: "a/1", value: Buffer.from([0, 255, 10]) }],
  remove: [],
};

test("calls that fail directly are relayed through a peer", async () => {
  const { store, failing } = await startRelay(true);
  expect(await store.commit(commit)).toMatchObject({ kind: "committed" });
  const read = await store.readKey("a/1");
  expect(read).toMatchObject({ kind: "read", item: { key: "a/1" } });
  const value = read.kind === "read" ? read.item?.value : undefined;
  expect(value?.equals(Buffer.from([0, 255, 10]))).toBe(true);
  expect(await store.listPage("a/")).toMatchObject({ kind: "page" });
  expect(await store.watchPrefix("a/", 0, 50)).toMatchObject({
    kind: "changes",
    events: [{ kind: "set" }],
  });
  const lease = await store.grantLease(1_000);
  expect(lease.kind).toBe("lease");
  const leaseId = lease.kind === "lease" ? lease.leaseId : "";
  expect(await store.renewLease(leaseId)).toMatchObject({ kind: "lease" });
  expect(await store.releaseLease(leaseId)).toEqual({ kind: "lease-gone" });
  // After the first failure calls go to the peer at once.
  expect(failing.counts.calls).toBe(1);
});

test("a commit that may have taken effect is not retried", async () => {
  const { store, metadata } = await startRelay(false);
  expect(await store.commit(commit)).toMatchObject({
    kind: "failed",
    isUndone: false,
  });
  expect(metadata.calls.commit).toBeUndefined();
});

test("a call to a stopped peer fails with an unknown outcome", async () => {
  const { store } = await startRelay(true);
  listener?.stop();
  expect(await store.readKey("a/1")).toMatchObject({
    kind: "failed",
    isUndone: false,
  });
});

test("a failed watch is not retried through the peer", async () => {
  const { store, metadata } = await startRelay(false);
  const failed = await store.watchPrefix("a/", 0, 20_000);
  expect(failed.kind).toBe("failed");
  expect(metadata.calls.watch).toBeUndefined();
  expect(await store.watchPrefix("a/", 0, 50)).toMatchObject({
    kind: "changes",
  });
});
