import { STREAM_VERSIONS, type StreamOrigin } from "@gooseberryline/core";
import type { FakeMetadata } from "@gooseberryline/fakes";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { createEntry } from "../testing/create_entry.ts";
import { createOrigins } from "../testing/create_origins.ts";
import { createView } from "../testing/create_view.ts";
import { STREAM_RECORDS } from "./constants.ts";
import { historyRecord } from "./history_record.ts";
import type { ListedVersions } from "./types.ts";

const SERVICE = "s";
const SETTLE_MS = 1_000;

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

/** Starts an instance that has the given versions listed. */
async function startInstance(
  listed: readonly string[],
  metadata?: FakeMetadata,
  isFirstStart = metadata === undefined,
  listVersions?: () => Promise<ListedVersions>,
) {
  const view = createView();
  const parts = createOrigins(view, metadata, isFirstStart, listVersions);
  const list = async (versions: readonly string[]): Promise<void> => {
    const ids = [...(view.directory.listVersions().get(SERVICE) ?? [])];
    ids.forEach((id) => {
      view.directory.remove(id, performance.now() + 1e9);
    });
    versions.forEach((version) => {
      view.directory.set(createEntry({ id: version, version }));
    });
    parts.versions.review();
    await vi.advanceTimersByTimeAsync(SETTLE_MS);
  };
  const begin = (requestId: string, version: string, customer = "c") =>
    parts.origins.recordBegun(customer, requestId, {
      service: SERVICE,
      version,
    });
  const takeUp = async (
    resumes: string | undefined,
    customer = "c",
    service = SERVICE,
  ): Promise<StreamOrigin | undefined> => {
    const found = parts.origins.find({ service, customer, resumes });
    await vi.advanceTimersByTimeAsync(SETTLE_MS);
    return found;
  };
  await list(listed);
  await parts.load();
  await vi.advanceTimersByTimeAsync(SETTLE_MS);
  return { ...parts, view, list, begin, takeUp };
}

test("a stream is taken up at its version after all instances lost power", async () => {
  const before = await startInstance(["v1", "v2"]);
  before.begin("r1", "v1");
  before.begin("r2", "v2");
  await vi.advanceTimersByTimeAsync(SETTLE_MS);
  const after = await startInstance(["v1", "v2"], before.metadata);
  expect(await after.takeUp("r1")).toMatchObject({ version: "v1" });
  expect(await after.takeUp("r2")).toMatchObject({ version: "v2" });
});

test("a stream whose version has left meanwhile is not taken for the new one's", async () => {
  const before = await startInstance(["v1"]);
  before.begin("r1", "v1");
  await vi.advanceTimersByTimeAsync(SETTLE_MS);
  const after = await startInstance(["v2"], before.metadata);
  expect(await after.takeUp("r1")).toBeUndefined();
});

test("streams that live when another version comes are recorded", async () => {
  const before = await startInstance(["v1"]);
  before.begin("r1", "v1");
  await before.list(["v1", "v2"]);
  const after = await startInstance(["v2"], before.metadata);
  expect(await after.takeUp("r1")).toMatchObject({ version: "v1" });
});

test("with one version no stream is written, and each can be taken up", async () => {
  const before = await startInstance(["v1"]);
  const commits = before.metadata.calls.commit;
  before.begin("r1", "v1");
  await vi.advanceTimersByTimeAsync(SETTLE_MS);
  expect(before.metadata.calls.commit).toBe(commits);
  const after = await startInstance(["v1"], before.metadata);
  expect(await after.takeUp("r1")).toMatchObject({ version: "v1" });
  expect(await after.takeUp(undefined)).toMatchObject({ version: "v1" });
});

test("nothing is taken up while the store does not tell what began it", async () => {
  const before = await startInstance(["v1"]);
  before.metadata.setFaults({ isDown: true });
  expect(await before.takeUp("r1")).toBeUndefined();
});

test("a stream of another customer can't be named", async () => {
  const { begin, takeUp } = await startInstance(["v1", "v2"]);
  begin("r1", "v1");
  await vi.advanceTimersByTimeAsync(SETTLE_MS);
  expect(await takeUp("r1", "other")).toBeUndefined();
  expect(await takeUp("r1")).toMatchObject({ version: "v1" });
});

test("a stream does not go on at another service", async () => {
  const { begin, takeUp } = await startInstance(["v1", "v2"]);
  begin("r1", "v1");
  expect(await takeUp("r1", "c", "other")).toBeUndefined();
});

test("streams that began before the versions were followed are not taken up", async () => {
  const { metadata } = await startInstance([]);
  const instance = await startInstance(["v1"], metadata, false);
  expect(await instance.takeUp("unknown")).toBeUndefined();
  await vi.advanceTimersByTimeAsync(STREAM_VERSIONS.STREAM_LIFE_MS);
  expect(await instance.takeUp("unknown")).toMatchObject({ version: "v1" });
});

test("records are written several at a time, and end with their lease", async () => {
  const { begin, metadata } = await startInstance(["v1", "v2"]);
  const before = metadata.calls.commit ?? 0;
  Array.from({ length: 30 }, (_, index) => begin(`r${index}`, "v1"));
  await vi.advanceTimersByTimeAsync(SETTLE_MS);
  expect((metadata.calls.commit ?? 0) - before).toBe(1);
  const page = await metadata.store.listPage("streams/");
  expect(page.kind === "page" ? page.items.length : 0).toBe(30);
  await vi.advanceTimersByTimeAsync(2 * STREAM_VERSIONS.STREAM_LIFE_MS);
  const later = await metadata.store.listPage("streams/");
  expect(later.kind === "page" ? later.items.length : 1).toBe(0);
});

test("what could not be written is written once the store is back", async () => {
  const { begin, takeUp, metadata } = await startInstance(["v1", "v2"]);
  metadata.setFaults({ isDown: true });
  const end = begin("r1", "v2");
  await vi.advanceTimersByTimeAsync(5_000);
  metadata.setFaults({ isDown: false });
  await vi.advanceTimersByTimeAsync(SETTLE_MS);
  end();
  expect(await takeUp("r1")).toMatchObject({ version: "v2" });
});

test("a history that was removed does not count for the time before", async () => {
  const { metadata, versions, takeUp } = await startInstance(["v1"]);
  const key = historyRecord.buildKey(SERVICE);
  metadata.remove(key);
  versions.handleEvent(SERVICE, { kind: "removed", key, revision: 99 });
  expect(await takeUp("unknown")).toBeUndefined();
  await vi.advanceTimersByTimeAsync(STREAM_VERSIONS.STREAM_LIFE_MS);
  expect(await takeUp("unknown")).toMatchObject({ version: "v1" });
});

test("a take-up is refused soon if the store is silent", async () => {
  const { origins, metadata } = await startInstance(["v1"]);
  vi.spyOn(metadata.store, "readKey").mockReturnValue(
    new Promise(() => undefined),
  );
  const found = origins.find({
    service: SERVICE,
    customer: "c",
    resumes: "r1",
  });
  await vi.advanceTimersByTimeAsync(STREAM_RECORDS.READ_TIMEOUT_MS);
  expect(await found).toBeUndefined();
});

test("a version that is gone for moments is not written as gone", async () => {
  const { metadata, list } = await startInstance(["v1", "v2"]);
  const commits = metadata.calls.commit;
  await list(["v2"]);
  await list(["v1", "v2"]);
  await vi.advanceTimersByTimeAsync(2 * STREAM_RECORDS.GONE_DELAY_MS);
  expect(metadata.calls.commit).toBe(commits);
});

const VERSIONS: readonly (readonly [string, readonly string[]])[] = [
  ["the new version beside the old one", ["v1", "v2"]],
  ["the new version alone", ["v2"]],
];

// Guards against a stream that goes on at another version, at an instance that has
// not heard of the one that began it: nothing but the store's list names it yet.
test.each(VERSIONS)(
  "an instance out of step takes up no stream while the store lists %s",
  async (_, versions) => {
    const listed = { versions: ["v1"] };
    const instance = await startInstance(
      ["v1"],
      undefined,
      true,
      async () => new Map([[SERVICE, new Set(listed.versions)]]),
    );
    expect(await instance.takeUp("r1")).toMatchObject({ version: "v1" });
    listed.versions = [...versions];
    expect(await instance.takeUp("r1")).toBeUndefined();
    expect(await instance.takeUp(undefined)).toBeUndefined();
  },
);

// Guards against the same where the new version has come and gone meanwhile.
test("an instance out of step reads the history that others have written", async () => {
  const behind = await startInstance(["v1"]);
  const other = await startInstance(["v1"], behind.metadata);
  await other.list(["v1", "v2"]);
  expect(await behind.takeUp("r1")).toBeUndefined();
});
