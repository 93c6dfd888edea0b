import type { MetadataItem, MetadataStore } from "@gooseberryline/core";
import { createMetadata } from "@gooseberryline/fakes";
import { expect, test } from "vitest";
import { createView } from "../testing/create_view.ts";
import { SILENT_LOG } from "../testing/silent_log.ts";
import { ConfigFreshness } from "./config_freshness.ts";
import { REFUSALS } from "./constants.ts";
import { TableCheck } from "./table_check.ts";

const PREFIX = "a/";
const PEERS = 4;

function createCheck(wrapStore = (store: MetadataStore) => store) {
  const metadata = createMetadata();
  const view = createView();
  const freshness = new ConfigFreshness(() => view.readNowMs());
  const state = { agreeing: 0, seen: 0 };
  const applied: MetadataItem[] = [];
  const store = wrapStore(metadata.store);
  const check = new TableCheck({
    view: {
      readNowMs: () => view.readNowMs(),
      listPeers: () => Array.from({ length: PEERS }),
      storeRelays: { countAgreeing: () => state.agreeing },
    } as never,
    store,
    detour: store,
    watch: {
      prefix: PREFIX,
      get seen() {
        return state.seen;
      },
      applyEvents: (events) => {
        events.forEach((event) => {
          if (event.kind === "set") {
            applied.push(event.item);
            state.seen = Math.max(state.seen, event.item.revision);
          }
        });
      },
    },
    freshness,
    log: SILENT_LOG,
  });
  const writeConfig = (value: string): void =>
    metadata.writeRecord(`${PREFIX}config`, value);
  const readValues = () => applied.map(({ value }) => value.toString());
  const countLists = (): number => metadata.calls.list ?? 0;
  const reads = { readValues, countLists };
  return { metadata, freshness, state, check, writeConfig, ...reads };
}

test("an instance that has just started is sure once the store has answered", async () => {
  const { check, writeConfig, readValues } = createCheck();
  writeConfig("new");
  expect(await check.confirm("key k")).toBe(true);
  expect(readValues()).toEqual(["new"]);
});

test("without an answer it is not sure, and the next caller doesn't wait", async () => {
  const { metadata, check, countLists } = createCheck();
  metadata.setFaults({ isDown: true });
  expect(await check.confirm("key k")).toBe(false);
  metadata.setFaults({ isDown: false });
  expect(await check.confirm("key k")).toBe(false);
  expect(countLists()).toBe(1);
});

test("a caller waits for a silent store no longer than the bound", async () => {
  const { check } = createCheck((store) => ({
    ...store,
    listPage: () => new Promise(() => undefined),
  }));
  const startedMs = performance.now();
  expect(await check.confirm("key k")).toBe(false);
  const tookMs = performance.now() - startedMs;
  expect(tookMs).toBeGreaterThanOrEqual(REFUSALS.ANSWER_WAIT_MS - 1);
});

test("a change that a peer has seen is asked for by way of it", async () => {
  const { metadata, freshness, state, check, writeConfig, readValues } =
    createCheck((store) => ({
      ...store,
      listPage: () => new Promise(() => undefined),
    }));
  writeConfig("old");
  state.seen = 2;
  writeConfig("new");
  freshness.recordPeerRevision(3);
  expect(await check.confirm("key k")).toBe(true);
  expect(readValues()).toEqual(["new"]);
  freshness.recordPeerRevision(9);
  metadata.setFaults({ isWatchSilent: true });
  expect(await check.confirm("key k")).toBe(false);
});

test("a newest configuration that can't be read makes nothing sure", async () => {
  const { freshness, check, countLists } = createCheck();
  freshness.recordRead(false);
  expect(await check.confirm("key k")).toBe(false);
  expect(countLists()).toBe(0);
  freshness.recordRead(true);
  expect(await check.confirm("key k")).toBe(true);
});

// Guards against an answer that the store gave before the key was issued.
test("callers during a question share the next one", async () => {
  const { check, writeConfig, readValues, countLists } = createCheck();
  writeConfig("old");
  const first = check.confirm("key a");
  await new Promise(setImmediate);
  await new Promise((resolve) => setTimeout(resolve, 5));
  writeConfig("new");
  const others = ["key b", "key c"].map((key) => check.confirm(key));
  expect(await Promise.all([first, ...others])).toEqual([true, true, true]);
  expect(readValues()).toEqual(["old", "new"]);
  expect(countLists()).toBe(2);
});

test("what was missing before is refused by what peers say", async () => {
  const { state, check, countLists } = createCheck();
  state.agreeing = PEERS;
  const confirm = async (name: string): Promise<number> => {
    expect(await check.confirm(name)).toBe(true);
    return countLists();
  };
  check.recordMissing(["key dropped"]);
  expect(await confirm("key dropped")).toBe(0);
  expect(await confirm("key asked")).toBe(1);
  expect(await confirm("key asked")).toBe(1);
  state.seen = 7;
  expect(await confirm("key asked")).toBe(1);
  expect(await confirm("key other")).toBe(2);
  state.agreeing = 1;
  expect(await confirm("key asked")).toBe(3);
});

test("records that change between two pages are known by the first", async () => {
  const { metadata, freshness, check, writeConfig, readValues } = createCheck(
    (store) => ({
      ...store,
      listPage: async (prefix, after, options) => {
        const page = await store.listPage(prefix, after, options);
        if (after === undefined) {
          writeConfig("changed");
          freshness.recordPeerRevision(4);
        }
        return page;
      },
    }),
  );
  metadata.setFaults({ pageItems: 1 });
  writeConfig("old");
  metadata.writeRecord(`${PREFIX}other`, "x");
  expect(await check.confirm("key k")).toBe(false);
  expect(readValues()).toEqual(["old", "x"]);
});
